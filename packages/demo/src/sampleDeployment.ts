/** The stand-ins and manifests of the sample deployment: both users of the brief side by side. */
import type { StandinAddresses, StandinsOptions } from '@snipehaven/standins';

export const sampleDataCentres = ['waw-1', 'waw-2', 'waw-3'] as const;
export const sampleVersions = ['scribe@1', 'analyst@1', 'analyst@2', 'counsel@1'] as const;

/** Price of the dearest version, as in config/kowalczyk.toml. */
export const dearestPrice = { input: 3_000_000, output: 12_000_000 } as const;

const ENGINES_PER_DATA_CENTRE = 2;

/** What the rater finds, close to the priors of the sample configuration. */
const means = {
  'scribe@1': { '*': 0.72, tag: 0.9, status: 0.9, 'well-log': 0.78 },
  'analyst@1': { '*': 0.86, tag: 0.92 },
  'analyst@2': { '*': 0.87, tag: 0.92 },
  'counsel@1': { '*': 0.95 },
};

interface PlacedUpstream {
  readonly name: string;
  readonly dataCentre: string;
}

const listEngines = (): readonly PlacedUpstream[] =>
  sampleDataCentres.flatMap((dataCentre) =>
    Array.from({ length: ENGINES_PER_DATA_CENTRE }, (_, index) => ({
      name: `engine-${dataCentre}-${index + 1}`,
      dataCentre,
    })),
  );

const listServices = (): readonly (PlacedUpstream & { readonly service: string })[] =>
  sampleDataCentres.flatMap((dataCentre) =>
    ['tracker', 'portal'].map((service) => ({
      name: `${service}-${dataCentre}`,
      dataCentre,
      service,
    })),
  );

/** A version beyond those of the sample configuration. */
export interface AddedVersion {
  readonly version: string;
  /** What the rater finds on average, by task; `*` stands for all others. */
  readonly means: Readonly<Record<string, number>>;
}

const listVersions = (added: readonly AddedVersion[]): readonly string[] => [
  ...sampleVersions,
  ...added.map(({ version }) => version),
];

const listMeans = (
  added: readonly AddedVersion[],
): Readonly<Record<string, Readonly<Record<string, number>>>> => ({
  ...means,
  ...Object.fromEntries(added.map((one) => [one.version, one.means])),
});

/** The stand-ins of the sample deployment. */
export const createSampleStandins = (
  seed: number,
  added: readonly AddedVersion[] = [],
): StandinsOptions => ({
  seed,
  platform: { rater: { means: listMeans(added) } },
  engines: listEngines().map(({ name }) => ({
    name,
    versions: listVersions(added),
    tokenMs: 4,
    tokenMsPerRunning: 0.2,
    prefillMsPerToken: 0.05,
    maxRunning: 32,
  })),
  services: listServices().map(({ name }) => ({
    name,
    workMs: 5,
    onceOnlyPaths: ['/filings', '/tags', '/tickets'],
  })),
});

/** Manifests of the upstreams where they really listen. */
export const createUpstreamManifests = (
  addresses: StandinAddresses,
  added: readonly AddedVersion[] = [],
): readonly object[] => {
  const urls = new Map(
    [...addresses.engines, ...addresses.services].map(({ name, url }) => [name, url]),
  );
  const engines = listEngines().map(({ name, dataCentre }) => ({
    kind: 'Upstream',
    metadata: { name },
    spec: { dataCentre, type: 'engine', url: urls.get(name), versions: listVersions(added) },
  }));
  const services = listServices().map(({ name, dataCentre, service }) => ({
    kind: 'Upstream',
    metadata: { name },
    spec: { dataCentre, type: 'service', url: urls.get(name), service },
  }));
  return [...engines, ...services];
};

const allowed: Readonly<Record<string, RegExp>> = {
  'studio-north': /^(scribe|analyst)@|^counsel@1$/,
  'studio-south': /^(scribe|analyst)@/,
  district: /^(analyst@1|counsel@1)$/,
  ranch: /^(scribe|analyst)@/,
};

/** What the sample configuration allows, told apart from the code under test. */
export const isAllowedBySample = (team: string, version: string): boolean =>
  allowed[team]?.test(version) ?? false;

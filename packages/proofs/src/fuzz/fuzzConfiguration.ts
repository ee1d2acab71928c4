/** The configuration that fuzzing works on. */
import { createHash } from 'node:crypto';
import type { DaemonCore } from '@snipehaven/daemon';
import { restoreManifest } from '@snipehaven/resources';
import type { World } from '../harness/index.js';

export const fuzzVersions = ['small@1', 'small@2', 'mid@1', 'large@1'] as const;
export const fuzzDataCentres = ['dc-a', 'dc-b', 'dc-c'] as const;
export const fuzzTeams = ['alpha', 'beta'] as const;

const allowed: Readonly<Record<string, readonly string[]>> = {
  alpha: ['small@*', 'mid@1', 'large@1'],
  beta: ['small@1', 'mid@1'],
};

/** What the configuration allows, told apart from the code under test. */
export const isAllowedByFuzz = (team: string, version: string): boolean =>
  (allowed[team] ?? []).some(
    (entry) => entry === version || entry === `${version.split('@')[0]}@*`,
  );

const prices: Readonly<Record<string, number>> = {
  'small@1': 100_000,
  'small@2': 100_000,
  'mid@1': 400_000,
  'large@1': 2_000_000,
};

const hash = (text: string): string => createHash('sha256').update(text).digest('hex');

const createTeam = (name: string): object => ({
  kind: 'Team',
  metadata: { name },
  spec: {
    keys: [{ name: 'k', sha256: hash(`${name}-key`) }],
    allowedVersions: allowed[name],
    allowedServices: ['records'],
    qualityTarget: 0.6,
    limits: { requestsPerSecond: 10_000, burst: 10_000, concurrency: 10_000 },
  },
});

const createVersion = (version: string): object => ({
  kind: 'ModelVersion',
  metadata: { name: version },
  spec: {
    inputMicroUsdPerMillionTokens: prices[version],
    outputMicroUsdPerMillionTokens: (prices[version] ?? 0) * 4,
    priorQuality: 0.9,
    priorWeight: 50,
  },
});

const createUpstreams = (world: World): readonly object[] => [
  ...[...world.engines.keys()].map((url) => ({
    kind: 'Upstream',
    metadata: { name: `engine-${new URL(url).hostname}` },
    spec: {
      dataCentre: fuzzDataCentres[Number(url.split('.')[1]) - 1],
      type: 'engine',
      url,
      versions: fuzzVersions,
    },
  })),
  ...[...world.services.keys()].map((url) => ({
    kind: 'Upstream',
    metadata: { name: `service-${new URL(url).hostname}` },
    spec: {
      dataCentre: fuzzDataCentres[Number(url.split('.')[1]) - 1],
      type: 'service',
      url,
      service: 'records',
    },
  })),
];

const service = {
  kind: 'Service',
  metadata: { name: 'records' },
  spec: {
    timeoutMs: 2_000,
    operations: [
      { method: 'POST', pathPrefix: '/filings', isIdempotent: false },
      { method: 'GET', pathPrefix: '/', isIdempotent: true },
    ],
  },
};

/** All manifests, in the order in which they may be applied. */
export const listFuzzManifests = (world: World): readonly object[] => [
  ...['small', 'mid', 'large'].map((name) => ({ kind: 'Model', metadata: { name }, spec: {} })),
  ...fuzzVersions.map(createVersion),
  ...createUpstreams(world),
  service,
  ...fuzzTeams.map(createTeam),
];

/** Applies the configuration through one daemon. */
export const applyFuzzConfiguration = async (world: World, core: DaemonCore): Promise<void> => {
  for (const [index, manifest] of listFuzzManifests(world).entries()) {
    await core.configuration.apply(restoreManifest(manifest), {
      clientRequestId: `setup-${index}`,
    });
  }
};

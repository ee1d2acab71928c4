/** The network between the daemons and all that they reach: a forwarder for each way. */
import {
  startSilentForwarder,
  type CutKind,
  type SilentForwarder,
  type StandinAddresses,
} from '@snipehaven/standins';
import { PEERS_PORT, type EntryVm } from '@snipehaven/demo';

export type TargetKind = 'peer' | 'platform' | 'upstream';

/** Something that daemons connect to. */
export interface NetworkTarget {
  readonly kind: TargetKind;
  readonly name: string;
  /** Absent for the platform, which stands in none of them. */
  readonly dataCentre?: string;
  readonly address: string;
  readonly port: number;
}

/** The way from the daemons of a data centre to a target. */
export interface Link {
  readonly from: string;
  readonly target: NetworkTarget;
}

export type LinkFilter = (link: Link) => boolean;

interface ForwardedLink extends Link {
  readonly forwarder: SilentForwarder;
  /** Cuts in force; the link heals when the last one ends. */
  readonly cuts: Set<symbol>;
}

const toTarget = (url: string): Pick<NetworkTarget, 'address' | 'port'> => {
  const { hostname, port } = new URL(url);
  return { address: hostname, port: Number(port) };
};

const listPlatform = (addresses: StandinAddresses): readonly NetworkTarget[] =>
  Object.entries({
    table: addresses.tableUrl,
    objectStore: addresses.objectStoreUrl,
    vmList: addresses.vmListUrl,
    rater: addresses.raterUrl,
    weightStore: addresses.weightStoreUrl,
  }).map(([name, url]) => ({ kind: 'platform', name, ...toTarget(url ?? '') }));

/** Everything that the daemons connect to; `placeOf` tells an upstream's data centre. */
export const listTargets = (
  vms: readonly EntryVm[],
  addresses: StandinAddresses,
  placeOf: (upstream: string) => string,
): readonly NetworkTarget[] => [
  ...vms.map(({ name, dataCentre, address }): NetworkTarget => ({
    kind: 'peer',
    name,
    dataCentre,
    address,
    port: PEERS_PORT,
  })),
  ...listPlatform(addresses),
  ...[...addresses.engines, ...addresses.services].map(({ name, url }): NetworkTarget => ({
    kind: 'upstream',
    name,
    dataCentre: placeOf(name),
    ...toTarget(url),
  })),
];

/** The links between two data centres, both ways. */
export const betweenDataCentres =
  (one: string, other: string): LinkFilter =>
  ({ from, target }) =>
    (from === one && target.dataCentre === other) || (from === other && target.dataCentre === one);

/** The links from a data centre to the platform. */
export const toPlatform =
  (dataCentre: string): LinkFilter =>
  ({ from, target }) =>
    from === dataCentre && target.kind === 'platform';

/** The links between a data centre and all else. */
export const aroundDataCentre =
  (dataCentre: string): LinkFilter =>
  ({ from, target }) =>
    (from === dataCentre) !== (target.dataCentre === dataCentre);

export class ForwardedNetwork {
  readonly #links: readonly ForwardedLink[];

  private constructor(links: readonly ForwardedLink[]) {
    this.#links = links;
  }

  /** Starts a forwarder from each data centre to each target, listening on the given address. */
  static async start(
    address: string,
    dataCentres: readonly string[],
    targets: readonly NetworkTarget[],
  ): Promise<ForwardedNetwork> {
    const links = dataCentres.flatMap((from) => targets.map((target) => ({ from, target })));
    return new ForwardedNetwork(
      await Promise.all(
        links.map(async ({ from, target }) => {
          const { address: targetAddress, port: targetPort } = target;
          const forwarder = await startSilentForwarder({ targetAddress, targetPort, address });
          return { from, target, forwarder, cuts: new Set<symbol>() };
        }),
      ),
    );
  }

  /** Where daemons of the data centre connect to instead of each target, by `ip:port`. */
  getRedirects(from: string): Readonly<Record<string, string>> {
    const links = this.#links.filter((link) => link.from === from);
    return Object.fromEntries(
      links.map(({ target, forwarder }) => [
        `${target.address}:${target.port}`,
        `${forwarder.address}:${forwarder.port}`,
      ]),
    );
  }

  /** Cuts the links; returns the function that heals them. */
  cut(filter: LinkFilter, kind: CutKind): () => void {
    const cut = Symbol('cut');
    const links = this.#links.filter(filter);
    links.forEach((link) => {
      link.cuts.add(cut);
      link.forwarder.cut(kind);
    });
    return () => links.forEach((link) => this.#heal(link, cut));
  }

  /** The links' connections open now go silent for good; new ones work. */
  silence(filter: LinkFilter): void {
    this.#links.filter(filter).forEach(({ forwarder }) => forwarder.silenceConnections());
  }

  async stop(): Promise<void> {
    await Promise.all(this.#links.map(({ forwarder }) => forwarder.stop()));
  }

  #heal(link: ForwardedLink, cut: symbol): void {
    link.cuts.delete(cut);
    if (link.cuts.size === 0) {
      link.forwarder.heal();
    }
  }
}

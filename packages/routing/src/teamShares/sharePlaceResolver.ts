/** Determines the position of this daemon among all data centres and daemons. */
import type { MembershipView } from '@snipehaven/membership';
import type { Member, SharePlace } from '@snipehaven/protocol';
import type { ConfigurationView } from '@snipehaven/resources';

const toSorted = (names: Iterable<string>): readonly string[] => [...new Set(names)].sort();

export interface SharePlaceResolverOptions {
  readonly membership: Pick<MembershipView, 'self' | 'listMembers'>;
  readonly getView: () => ConfigurationView;
}

/**
 * If fixed shares grew as soon as other members seem dead, the two sides of a network partition
 * would take each other for dead and together exceed the limit. All remembered members therefore
 * count: a daemon until it has left by its own announcement or is forgotten, an hour after its
 * death; and a data centre that once had daemons, as long as upstreams are configured in it.
 */
export class SharePlaceResolver {
  readonly #options: SharePlaceResolverOptions;

  #knownDataCentres: readonly string[] = [];

  constructor(options: SharePlaceResolverOptions) {
    this.#options = options;
  }

  /** The current position of this daemon. */
  resolve(): SharePlace {
    const { self } = this.#options.membership;
    const members = this.#options.membership.listMembers();
    const dataCentres = this.#listDataCentres(members);
    const daemons = toSorted([
      self.vm,
      ...members
        .filter((member) => member.dataCentre === self.dataCentre && member.state !== 'left')
        .map((member) => member.vm),
    ]);
    return {
      dataCentreIndex: dataCentres.indexOf(self.dataCentre),
      dataCentreCount: dataCentres.length,
      daemonIndex: daemons.indexOf(self.vm),
      daemonCount: daemons.length,
    };
  }

  #listDataCentres(members: readonly Member[]): readonly string[] {
    const { membership, getView } = this.#options;
    const upstreams = getView().list('Upstream');
    const configured = new Set(upstreams.map(({ spec }) => spec.dataCentre));
    this.#knownDataCentres = toSorted([
      membership.self.dataCentre,
      ...members.map((member) => member.dataCentre),
      ...this.#knownDataCentres.filter((dataCentre) => configured.has(dataCentre)),
    ]);
    return this.#knownDataCentres;
  }
}

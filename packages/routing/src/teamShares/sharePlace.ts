/** Where this daemon stands among all data centres and daemons. */
import type { MembershipView } from '@snipehaven/membership';
import type { Member, SharePlace } from '@snipehaven/protocol';
import type { ConfigurationView } from '@snipehaven/resources';

const toSorted = (names: Iterable<string>): readonly string[] => [...new Set(names)].sort();

export interface SharePlacesOptions {
  readonly membership: Pick<MembershipView, 'self' | 'listMembers'>;
  readonly getView: () => ConfigurationView;
}

/**
 * What goes wrong: the fixed shares of the living grow as soon as others seem dead. Cut off, each side takes
 * the other for dead, and together they use more than the limit. So all count that are remembered: a daemon
 * until it has left by its own word or is forgotten, an hour after its death; a data centre that had daemons
 * as long as upstreams are configured there, too.
 */
export class SharePlaces {
  readonly #options: SharePlacesOptions;

  #metDataCentres: readonly string[] = [];

  constructor(options: SharePlacesOptions) {
    this.#options = options;
  }

  /** Where this daemon stands now. */
  find(): SharePlace {
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
    this.#metDataCentres = toSorted([
      membership.self.dataCentre,
      ...members.map((member) => member.dataCentre),
      ...this.#metDataCentres.filter((dataCentre) => configured.has(dataCentre)),
    ]);
    return this.#metDataCentres;
  }
}

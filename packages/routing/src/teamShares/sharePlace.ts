/** Where this daemon stands among all data centres and daemons. */
import type { MembershipView } from '@snipehaven/membership';
import type { SharePlace } from '@snipehaven/protocol';
import type { ConfigurationView } from '@snipehaven/resources';

const toSorted = (names: Iterable<string>): readonly string[] => [...new Set(names)].sort();

/**
 * What goes wrong: the fixed shares of the living grow as soon as others seem dead. Cut off, each side takes
 * the other for dead, and together they use more than the limit. So all count that are remembered: a data
 * centre while the configuration or any memory names it, a daemon until it has left by its own word or is
 * forgotten, an hour after its death.
 */
export const findSharePlace = (
  membership: Pick<MembershipView, 'self' | 'listMembers'>,
  view: ConfigurationView,
): SharePlace => {
  const { self } = membership;
  const members = membership.listMembers();
  const dataCentres = toSorted([
    self.dataCentre,
    ...members.map((member) => member.dataCentre),
    ...view.list('Upstream').map((upstream) => upstream.spec.dataCentre),
  ]);
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
};

/** Which of two records of one incarnation tells the newer story. */
import type { Member } from '@snipehaven/protocol';

const STATE_RANKS: Readonly<Record<Member['state'], number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

/** Whether the member may be counted on: alive, or not yet given up. */
export const isLive = (member: Member): boolean =>
  member.state === 'alive' || member.state === 'suspect';

/**
 * A higher refutation wins, for only the member itself raises it. Of equal ones the worse state wins.
 * Leaving is for good.
 */
export const supersedes = (incoming: Member, present: Member): boolean => {
  if (present.state === 'left' || incoming.state === 'left') {
    return present.state !== 'left';
  }
  const newer = incoming.refutation - present.refutation;
  return (newer || STATE_RANKS[incoming.state] - STATE_RANKS[present.state]) > 0;
};

/**
 * What goes wrong: a cut heals, and the other side tells that members here are dead, which only could not be
 * reached from there; believed, a healthy data centre would bury all its members at once and move their
 * duties. One notices it by a burst of `memberDied` followed by joins. So a data centre judges its members
 * by its own probes alone: what others say of them is passed on to the subject, to refute it.
 */
export const isOutsidersDoubt = (record: Member, reporter: Member, self: Member): boolean =>
  record.dataCentre === self.dataCentre &&
  reporter.dataCentre !== self.dataCentre &&
  (record.state === 'suspect' || record.state === 'dead');

/** A death told by neither data centre concerned is a suspicion: others may reach the subject. */
export const weighReport = (record: Member, reporter: Member, self: Member): Member => {
  const isNear =
    reporter.dataCentre === self.dataCentre || reporter.dataCentre === record.dataCentre;
  return record.state === 'dead' && !isNear ? { ...record, state: 'suspect' } : record;
};

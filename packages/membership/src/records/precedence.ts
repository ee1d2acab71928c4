/** Decides which of two records of one incarnation is newer. */
import type { Member } from '@snipehaven/protocol';

const STATE_RANKS: Readonly<Record<Member['state'], number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

/** Whether the member is alive or has not been declared dead yet. */
export const isLive = (member: Member): boolean =>
  member.state === 'alive' || member.state === 'suspect';

/**
 * A higher refutation wins, because only the member itself raises it. For equal refutations, the
 * worse state wins. Leaving is final.
 */
export const supersedes = (incoming: Member, current: Member): boolean => {
  if (current.state === 'left' || incoming.state === 'left') {
    return current.state !== 'left';
  }
  const newer = incoming.refutation - current.refutation;
  return (newer || STATE_RANKS[incoming.state] - STATE_RANKS[current.state]) > 0;
};

/**
 * After a partition heals, the other side reports local members as dead that it merely could not
 * reach. If these reports were accepted, a healthy data centre would declare all its members dead
 * at once and move their duties: a burst of `memberDied` followed by joins. Therefore a data centre
 * judges its members by its own probes alone. Reports of others are forwarded to the member
 * concerned, which refutes them.
 */
export const isRemoteSuspicion = (record: Member, reporter: Member, self: Member): boolean =>
  record.dataCentre === self.dataCentre &&
  reporter.dataCentre !== self.dataCentre &&
  (record.state === 'suspect' || record.state === 'dead');

/**
 * A death reported from a third data centre only counts as a suspicion, because others may be able
 * to reach the member.
 */
export const downgradeRemoteDeath = (record: Member, reporter: Member, self: Member): Member => {
  const isNear =
    reporter.dataCentre === self.dataCentre || reporter.dataCentre === record.dataCentre;
  return record.state === 'dead' && !isNear ? { ...record, state: 'suspect' } : record;
};

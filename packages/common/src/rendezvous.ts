/** Rendezvous (highest random weight) hashing: stable choice of owners among live members. */
import murmurhash from 'murmurhash';

const getWeight = (key: string, member: string): number => murmurhash.v3(`${key}\u0000${member}`);

/** Members by falling weight for the key; the first is the owner, the second its replica. */
export const rankByRendezvous = <Member extends string>(
  key: string,
  members: readonly Member[],
): readonly Member[] =>
  members
    .map((member) => ({ member, weight: getWeight(key, member) }))
    .sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
    .map((entry) => entry.member);

/** The member with the highest weight for the key. */
export const getRendezvousOwner = <Member extends string>(
  key: string,
  members: readonly Member[],
): Member | undefined => rankByRendezvous(key, members)[0];

/** Records of a member `x0`, for tests. */
import { createSilentLogger } from '@snipehaven/common';
import type { Member } from '@snipehaven/protocol';
import { silentRecorder } from '@snipehaven/timeline';
import { DEFAULT_MEMBERSHIP_SETTINGS } from '../constants.js';
import { MemberRecords } from '../records/memberRecords.js';

/**
 * Creates a live member. The first letter of its name is its data centre, and its name is its
 * address.
 */
export const createMember = (vm: string, change: Partial<Member> = {}): Member => ({
  vm,
  dataCentre: vm[0] as string,
  address: vm,
  incarnation: `${vm}#1`,
  refutation: 0,
  state: 'alive',
  ...change,
});

/** Creates records that contain the given members. */
export const createRecords = (...known: readonly Member[]): MemberRecords => {
  const records = new MemberRecords({
    self: createMember('x0'),
    settings: DEFAULT_MEMBERSHIP_SETTINGS,
    timeline: silentRecorder,
    logger: createSilentLogger(),
  });
  known.forEach((member) => records.merge(member, member));
  return records;
};

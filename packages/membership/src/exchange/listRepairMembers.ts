/** Chooses the records that repair a difference. */
import type { Member } from '@snipehaven/protocol';
import { MAX_REPAIR_MEMBERS } from '../constants.js';
import type { MemberTable } from '../records/memberTable.js';

/**
 * The records of the buckets that differ, the dead too, since the other side may hold them alive. At most
 * so many, but one whole bucket; the rest differs still and comes with the next repair.
 */
export const listRepairMembers = (
  table: MemberTable,
  buckets: readonly number[],
): readonly Member[] => {
  const members: Member[] = [];
  for (const bucket of table.digests.listDiffering(buckets)) {
    const found = table.listBuckets([bucket]);
    if (members.length > 0 && members.length + found.length > MAX_REPAIR_MEMBERS) {
      break;
    }
    members.push(...found);
  }
  return members;
};

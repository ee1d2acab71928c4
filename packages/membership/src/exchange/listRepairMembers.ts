/** Selects the records that repair a difference between two views. */
import type { Member } from '@snipehaven/protocol';
import { MAX_REPAIR_MEMBERS } from '../constants.js';
import type { MemberTable } from '../records/memberTable.js';

/**
 * Returns the records of the differing buckets, including dead members because the peer may
 * consider them alive. The number is limited, but at least one whole bucket is returned; the
 * remaining differences are repaired the next time.
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

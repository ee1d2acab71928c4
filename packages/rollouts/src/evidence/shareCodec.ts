/** Encodes evidence shares as tuples that contain only non-zero counters. */
import {
  createEmptyCounts,
  SCORE_BIN_COUNT,
  type EvidenceShare,
  type OutcomeCounts,
} from '@snipehaven/policy';
import type { ShareTuple } from '@snipehaven/protocol';

const outcomeFields = ['answerCount', 'errorCount', 'emptyCount', 'cutCount', 'slowCount'] as const;

const listCounters = (counts: OutcomeCounts): readonly number[] => [
  ...counts.scoreCounts,
  ...outcomeFields.map((field) => counts[field]),
];

const COUNTER_COUNT = SCORE_BIN_COUNT + outcomeFields.length;

export const encodeShare = (cellKey: string, share: EvidenceShare): ShareTuple => {
  const sparse = listCounters(share.counts).flatMap((count, index) =>
    count > 0 ? [index, count] : [],
  );
  return [cellKey, share.source, share.epoch, share.era, sparse];
};

/** Returns undefined if the counters are malformed. */
const decodeCounts = (sparse: readonly number[]): OutcomeCounts | undefined => {
  const counters = new Array<number>(COUNTER_COUNT).fill(0);
  for (let at = 0; at < sparse.length; at += 2) {
    const index = sparse[at] ?? COUNTER_COUNT;
    const count = sparse[at + 1];
    if (index >= COUNTER_COUNT || count === undefined) {
      return undefined;
    }
    counters[index] = count;
  }
  const tail = outcomeFields.map((field, index) => [field, counters[SCORE_BIN_COUNT + index] ?? 0]);
  return {
    ...createEmptyCounts(),
    ...(Object.fromEntries(tail) as Partial<OutcomeCounts>),
    scoreCounts: counters.slice(0, SCORE_BIN_COUNT),
  };
};

/** Returns undefined if the tuple is malformed. */
export const decodeShare = (tuple: ShareTuple): EvidenceShare | undefined => {
  const [, source, epoch, era, sparse] = tuple;
  const counts = decodeCounts(sparse);
  return counts && { source, epoch, era, counts };
};

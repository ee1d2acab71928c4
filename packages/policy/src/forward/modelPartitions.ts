/**
 * Partitions a service's upstreams among its models. While a large model prefills a prompt,
 * everything beside it stops, and each answer that it decodes slows down all others. When answers
 * to long prompts of the largest model were spread over all upstreams, the first answers of the
 * smallest model were late everywhere, and the cached prompt parts of each model had as many owners
 * as there were upstreams.
 *
 * The size of a partition follows the observed demand. Leaving it costs a penalty only while
 * upstreams are busy.
 */
import { getAffinityWeight, hashAffinityKey } from '../upstreamChoice/affinity/affinityHash.js';

/** A range in the fixed order of all upstreams; both ends are fractions from 0 to 1. */
export interface ModelPartition {
  readonly from: number;
  readonly to: number;
}

/**
 * Maximum penalty of an upstream outside the partition, as upstream time; longer than most prompts
 * of the largest model take.
 */
const MAX_PARTITION_PENALTY_MS = 400;

/**
 * Mean queueing time from which the maximum penalty applies. Without queueing there is no penalty.
 */
const BUSY_WAIT_MS = 200;

const ORDER_KEY = hashAffinityKey('lane');

const computeRanking = (ids: readonly string[]): readonly string[] =>
  ids
    .map((id) => ({ id, weight: getAffinityWeight(ORDER_KEY, id) }))
    .sort((a, b) => b.weight - a.weight)
    .map(({ id }) => id);

const isSameList = (a: readonly string[], b: readonly string[]): boolean =>
  a.length === b.length && a.every((id, index) => id === b[index]);

let lastRanked: Readonly<Record<'ids' | 'ranked', readonly string[]>> = { ids: [], ranked: [] };

/**
 * Returns the upstreams in an order that all daemons agree on and that is not affected when other
 * upstreams join or leave. It is needed several times per request, nearly always for the same
 * upstreams, so the last result is cached.
 */
const rankUpstreams = (ids: readonly string[]): readonly string[] => {
  if (!isSameList(ids, lastRanked.ids)) {
    lastRanked = { ids, ranked: computeRanking(ids) };
  }
  return lastRanked.ranked;
};

/** Returns the upstreams of the partition; at least one if there are any upstreams. */
export const listPartition = (
  ids: readonly string[],
  partition: ModelPartition | undefined,
): ReadonlySet<string> => {
  const ranked = rankUpstreams(ids);
  if (partition === undefined) {
    return new Set(ranked);
  }
  const getMiddle = (index: number): number => (index + 0.5) / ranked.length;
  const inPartition = ranked.filter((_id, index) => {
    const middle = getMiddle(index);
    return middle >= partition.from && middle <= partition.to;
  });
  if (inPartition.length > 0) {
    return new Set(inPartition);
  }
  const nearest = Math.floor(((partition.from + partition.to) / 2) * ranked.length);
  return new Set(ranked.slice(Math.min(nearest, ranked.length - 1)).slice(0, 1));
};

/** Returns the current penalty of an upstream outside the partition, in ms. */
export const getLeaveMs = (meanWaitMs: number): number =>
  MAX_PARTITION_PENALTY_MS * Math.min(1, meanWaitMs / BUSY_WAIT_MS);

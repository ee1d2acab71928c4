/** How many requests a daemon may have running, as admission's setting. */
import { getKnownLoad } from './estimateLoad.js';
import type { UpstreamView } from './types.js';

const sumOf = (
  upstreams: readonly UpstreamView[],
  pick: (upstream: UpstreamView) => number,
): number => upstreams.reduce((sum, upstream) => sum + pick(upstream), 0);

const isOpen = (upstream: UpstreamView): boolean =>
  !upstream.isLeaving && upstream.ejectedUntilMs === 0;

/**
 * An equal share of the pool's limits, which each daemon may use at any time, or what it has plus
 * its part of the room that the load reports show. The second lets a busy daemon use what others
 * leave idle; dividing the room by the daemons keeps them from all taking the same room.
 */
export const getMaxRunning = (upstreams: readonly UpstreamView[], daemonCount: number): number => {
  const open = upstreams.filter(isOpen);
  const limit = sumOf(open, (upstream) => upstream.maxConcurrency);
  const load = sumOf(open, getKnownLoad);
  const own = sumOf(open, (upstream) => upstream.inFlight);
  const withRoom = own + (limit - load) / daemonCount;
  return Math.max(1, Math.floor(Math.max(limit / daemonCount, withRoom)));
};

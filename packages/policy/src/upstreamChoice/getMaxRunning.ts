/** How many requests a daemon may have running, as admission's setting. */
import { BURST_DEVIATIONS, MAX_ROOM_SHARE } from './constants.js';
import { getKnownLoad } from './estimateLoad.js';
import type { UpstreamView } from './types.js';

const sumOf = (
  upstreams: readonly UpstreamView[],
  pick: (upstream: UpstreamView) => number,
): number => upstreams.reduce((sum, upstream) => sum + pick(upstream), 0);

const isOpen = (upstream: UpstreamView): boolean =>
  !upstream.isLeaving && upstream.ejectedUntilMs === 0;

/** Room that the reports show, of which a daemon may take what its own usual variation needs. */
const getHeadroom = (room: number, own: number, daemonCount: number): number => {
  if (room <= 0) {
    return room / daemonCount;
  }
  const variation = BURST_DEVIATIONS * Math.sqrt(own + 1);
  return Math.max(room / daemonCount, Math.min(room * MAX_ROOM_SHARE, variation));
};

/**
 * An equal share of the pool's limits, which each daemon may use at any time, or what it has plus
 * headroom while the load reports show room. Daemons' loads vary independently: were the room
 * divided among them, the busier ones would let requests wait before a pool with free slots, which
 * shows as first tokens that are late at 57 daemons and not at 9.
 */
export const getMaxRunning = (upstreams: readonly UpstreamView[], daemonCount: number): number => {
  const open = upstreams.filter(isOpen);
  const limit = sumOf(open, (upstream) => upstream.maxConcurrency);
  const load = sumOf(open, getKnownLoad);
  const own = sumOf(open, (upstream) => upstream.inFlight);
  const withRoom = own + getHeadroom(limit - load, own, daemonCount);
  const ownSlots = sumOf(
    open,
    (upstream) => upstream.ownSlots ?? upstream.maxConcurrency / daemonCount,
  );
  return Math.max(1, Math.floor(Math.max(ownSlots, withRoom)));
};

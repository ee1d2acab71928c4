/** Computes the maximum number of requests that a daemon may run, for admission control. */
import { BURST_DEVIATIONS, MAX_HEADROOM_SHARE } from './constants.js';
import { getKnownLoad } from './estimateLoad.js';
import type { UpstreamView } from './types.js';

const sumBy = (
  upstreams: readonly UpstreamView[],
  pick: (upstream: UpstreamView) => number,
): number => upstreams.reduce((sum, upstream) => sum + pick(upstream), 0);

const isAvailable = (upstream: UpstreamView): boolean =>
  !upstream.isLeaving && upstream.ejectedUntilMs === 0;

/**
 * Additional requests that a daemon may start: enough for its own load variation, within the free
 * capacity that the load reports show.
 */
const getHeadroom = (room: number, own: number, daemonCount: number): number => {
  if (room <= 0) {
    return room / daemonCount;
  }
  const variation = BURST_DEVIATIONS * Math.sqrt(own + 1);
  return Math.max(room / daemonCount, Math.min(room * MAX_HEADROOM_SHARE, variation));
};

/**
 * Returns an equal share of the pool's limits, which each daemon may always use, or the daemon's
 * current requests plus headroom while the load reports show free capacity. The loads of daemons
 * vary independently. If the free capacity were divided among them, busier daemons would queue
 * requests in front of a pool with free slots: first tokens were late with 57 daemons and not with
 * 9.
 */
export const getMaxRunning = (upstreams: readonly UpstreamView[], daemonCount: number): number => {
  const open = upstreams.filter(isAvailable);
  const limit = sumBy(open, (upstream) => upstream.maxConcurrency);
  const load = sumBy(open, getKnownLoad);
  const own = sumBy(open, (upstream) => upstream.inFlight);
  const withHeadroom = own + getHeadroom(limit - load, own, daemonCount);
  const ownSlots = sumBy(
    open,
    (upstream) => upstream.ownSlots ?? upstream.maxConcurrency / daemonCount,
  );
  return Math.max(1, Math.floor(Math.max(ownSlots, withHeadroom)));
};

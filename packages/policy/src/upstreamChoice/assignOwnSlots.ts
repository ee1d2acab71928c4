/**
 * Divides an upstream's slots among the daemons. Every daemon works out the same division from the
 * sorted lists of daemons and upstreams, and what it has in flight itself it knows without lag.
 * Requests within these slots never make a queue at the engine, however old the load reports are.
 */

/** One upstream and one daemon by their places in the sorted lists that all daemons share. */
export interface SlotDivision {
  /** The upstream's slots, for all daemons together. */
  readonly limit: number;
  readonly upstreamIndex: number;
  readonly daemonIndex: number;
  readonly daemonCount: number;
}

/** This daemon's slots: an equal part, and the rest dealt out round the upstreams in turn. */
export const assignOwnSlots = (division: SlotDivision): number => {
  const { limit, upstreamIndex, daemonIndex, daemonCount } = division;
  const part = Math.floor(limit / daemonCount);
  const rest = limit - part * daemonCount;
  const firstDaemon = (upstreamIndex * limit) % daemonCount;
  const place = (daemonIndex - firstDaemon + daemonCount) % daemonCount;
  return part + (place < rest ? 1 : 0);
};

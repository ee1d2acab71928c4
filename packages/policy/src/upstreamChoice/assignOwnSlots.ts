/**
 * Divides an upstream's slots among the daemons. Every daemon computes the same division from the
 * sorted lists of daemons and upstreams, and it knows its own requests in flight without delay.
 * Requests within these slots never build up a queue at the engine, however old the load reports
 * are.
 */

/**
 * An upstream and a daemon, identified by their positions in the sorted lists that all daemons
 * share.
 */
export interface SlotDivision {
  /** Total number of the upstream's slots for all daemons. */
  readonly limit: number;
  readonly upstreamIndex: number;
  readonly daemonIndex: number;
  readonly daemonCount: number;
}

/**
 * Returns this daemon's slots: an equal part, plus one of the remaining slots, which are assigned
 * to different daemons for each upstream.
 */
export const assignOwnSlots = (division: SlotDivision): number => {
  const { limit, upstreamIndex, daemonIndex, daemonCount } = division;
  const part = Math.floor(limit / daemonCount);
  const remainder = limit - part * daemonCount;
  const firstDaemon = (upstreamIndex * limit) % daemonCount;
  const position = (daemonIndex - firstDaemon + daemonCount) % daemonCount;
  return part + (position < remainder ? 1 : 0);
};

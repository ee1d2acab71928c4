/** Sizes and bounds of the soak run. */

/** Environment variable with the redirects of a daemon's connections. */
export const REDIRECTS_VARIABLE = 'SNIPEHAVEN_SOAK_REDIRECTS';

export const DAEMONS_PER_DATA_CENTRE = 3;
/** Together with the pause about 60 requests a second. */
export const PARALLEL_CALLERS = 26;
export const CALLER_PAUSE_MS = 150;
export const ATTEMPT_TIMEOUT_MS = 15_000;
/** Callers do not give up: a request that never ends well is lost. */
export const MAX_ATTEMPTS = 80;
/** More than can be sent in a second. */
export const MAX_REQUESTS_PER_SECOND = 200;

export const BALANCER_POLL_MS = 250;
export const BALANCER_TIMEOUT_MS = 700;
/** How long a stopping daemon serves on; the balancer has noticed by then. */
export const BALANCER_DELAY_MS = 1_500;

export const STATUS_POLL_MS = 300;
export const STATUS_TIMEOUT_MS = 1_000;
export const METRICS_POLL_MS = 1_000;
export const HEAD_POLL_MS = 100;
/** A change this young may still be on its way to a daemon that just became ready. */
export const HEAD_GRACE_MS = 500;

/** Time between probing writes in quiet times and under faults. */
export const PROBE_PAUSE_MS = 1_000;
export const PROBE_POLL_MS = 25;
export const PROBE_GIVE_UP_MS = 60_000;
/** Load without faults at the start, for figures to compare with. */
export const QUIET_MS = 8_000;

/** A leaving upstream may get work for so long after it said so. */
export const LEAVING_GRACE_MS = 5_000;
/** A withdrawal that all daemons report may still have work on its way for so long. */
export const WITHDRAWAL_GRACE_MS = 1_000;
export const WITHDRAWN_VERSION = 'analyst@1';

export const READY_TIMEOUT_MS = 60_000;

/** Sizes and times of the platform soak. */

export const DATA_CENTRES = ['a', 'b', 'c'] as const;

/** What the settings say of the grace period, in seconds; long streams end within it. */
export const GRACE_S = 4;

/** Until a killed process is started again, as the platform does. */
export const RESTART_MS = 300;

/** The balancer asks this often, and takes a VM out after two misses. */
export const BALANCER_PERIOD_MS = 1_000;
export const BALANCER_MISSES = 2;

/** A VM or the store counts as calm this long after its last fault. */
export const CONTACT_MS = 3_000;

/** Of the smallest VM; daemons take it for theirs where the settings name none. */
export const MEMORY_LIMIT_BYTES = 250_000_000;

/** Bounds that the settings tell the daemons. */
export const REVOKE_DEADLINE_MS = 5_000;
export const DRAIN_MS = 2_000;

/** From an evacuation's acknowledgement on, until all who are in touch send nothing there. */
export const EVACUATE_MS = 3_000;

/** How long an upstream is cold after its start, and how many requests a second it takes meanwhile. */
export const COLD_MS = 1_500;
export const COLD_PER_S = 10;

/** A cold upstream ends when it gets more than so many times its rate, and a few. */
export const COLD_OVERAGE = 1.5;
export const COLD_SLACK = 5;

/** Until a daemon knows that an upstream has turned cold by itself. */
export const COLD_NOTICE_MS = 1_000;

/** Slots of an upstream of the plain service. */
export const PLAIN_SLOTS = 4;

/** How often brittle upstreams may fall over in one time, and in addition by this share of their number. */
export const MAX_FALLS = 2;
export const MAX_FALLS_SHARE = 0.1;

/** An upstream's rate limit is counted over this, and so much more than it is allowed. */
export const LIMIT_WINDOW_MS = 4_000;
export const LIMIT_OVERAGE = 1.5;
export const LIMIT_SLACK = 5;

/** Until a daemon must heed what an answer that it passed on said. */
export const TOLD_MS = 500;

/** Requests that may reach an upstream from a VM during the back-off that it asked this VM for. */
export const MAX_BACK_OFF_ARRIVALS = 2;

/** How long a caller waits; a little more is allowed before an answer counts as overdue. */
export const CALLER_DEADLINE_MS = 4_000;
export const OVERDUE_MS = 700;

/** An upstream's work for a caller that has left may go on this long. */
export const GONE_MS = 700;

/** The processes have this long to recover before the last, calm part of a run. */
export const HEAL_MS = 6_000;
export const CALM_MS = 3_000;

/** Of the calm part's requests, the least that must be served. */
export const LEAST_CALM_SHARE = 0.9;
export const READY_TIMEOUT_MS = 10_000;

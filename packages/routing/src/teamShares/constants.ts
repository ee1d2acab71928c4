/** Intervals and limits of team limit sharing. */

export const TEAM_SHARES_DUTY = 'teamShares';
export const LEASE_DURATION_MS = 15_000;
export const LEASE_RENEW_MS = 5_000;

/**
 * Number of daemons in a data centre up to which all send requests at the normal rate; beyond it
 * each sends them less often.
 */
export const FULL_RATE_DAEMONS = 16;
/** The longest request interval, at which a share still outlasts one request and its response. */
export const MAX_REQUEST_INTERVAL_MS = 4_000;
/** Request interval of a daemon that has not received any response. */
export const FIRST_REQUEST_INTERVAL_MS = 250;
export const REQUEST_JITTER = 0.1;
/** How long a request waits for a share of a team that had no demand on this daemon. */
export const SHARE_WAIT_TIMEOUT_MS = 300;

/** Requested shares exceed the measured use by this factor, to cover growing demand. */
export const DEMAND_HEADROOM = 1.5;
/** The factor by which demand decays in an interval without requests. */
export const DEMAND_DECAY = 0.7;
/** Demand below this fraction of a limit counts as none. */
export const MIN_FLOW_DEMAND = 1e-4;
/** Demand is measured over at least this time. */
export const MIN_DEMAND_WINDOW_MS = 1_000;
/** Decimal places of fractions in messages. */
export const FLOW_DIGITS = 6;

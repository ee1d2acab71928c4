/** Times and bounds of the shared team limits. */

export const TEAM_SHARES_DUTY = 'teamShares';
export const LEASE_DURATION_MS = 15_000;
export const LEASE_RENEW_MS = 5_000;

/** Daemons of a data centre up to which all ask at the usual pace; beyond it they ask less often. */
export const FULL_PACE_DAEMONS = 16;
/** The slowest pace: a share still outlasts one request and its answer. */
export const MAX_REQUEST_INTERVAL_MS = 4_000;
/** How soon a daemon without any answer yet asks again. */
export const FIRST_REQUEST_INTERVAL_MS = 250;
export const REQUEST_JITTER = 0.1;
/** How long a request waits for the share of a team that was idle here. */
export const SHARE_WAIT_MS = 300;

/** A share is asked for this much above what was used, so that it covers a growing demand. */
export const DEMAND_HEADROOM = 1.5;
/** What is left of a demand after an interval without any. */
export const DEMAND_FADE = 0.7;
/** Demand below this part of a limit is none. */
export const MIN_FLOW_DEMAND = 1e-4;
/** Demand is measured over at least this time. */
export const MIN_DEMAND_WINDOW_MS = 1_000;
/** Digits of parts in messages. */
export const FLOW_DIGITS = 6;

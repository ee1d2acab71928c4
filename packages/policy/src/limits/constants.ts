/** Settings of limits and admission; figures in POLICY-UPSTREAMS.md. */

/** How long a granted share lasts. */
export const SHARE_TTL_MS = 6_000;
/** A member asks again after this time. */
export const SHARE_REQUEST_INTERVAL_MS = 2_000;
/** A member that got no answer for so long falls back to its fixed share. */
export const SHARE_FALL_BACK_MS = 18_000;
/** Clocks may run apart by this share; the holder's side makes up for it. */
export const SHARE_CLOCK_DRIFT = 0.01;
/** A silent member's place goes back to the unheard ones after this time. */
export const SHARE_FORGET_MS = 120_000;

/** Weight of a new sample in the moving average of the service time. */
export const SERVICE_TIME_WEIGHT = 0.05;
/** Refusals fade to 1/e in this time. */
export const REFUSAL_FADE_MS = 5_000;

/** Returning callers may use up this share of the drain rate. */
export const RETURN_SHARE = 0.5;
export const RETRY_AFTER_MIN_MS = 1_000;
export const RETRY_AFTER_MAX_MS = 60_000;

/** Slots kept from the largest team, in square roots of the slots. */
export const RESERVED_DEVIATIONS = 0.5;
/** A request may spend this share of its time until the deadline waiting in line. */
export const MAX_WAIT_SHARE = 0.1;

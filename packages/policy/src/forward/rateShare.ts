/**
 * Divides the request rate that an upstream accepts among the daemons. The rate may be lower than
 * one request per second, and lower than the number of daemons, so whole requests are dealt out
 * over a window of several seconds.
 */
import { divideByRank, type RankedDaemon } from './divideByRank.js';

const MS_PER_S = 1_000;

/** Long enough that a rate of one request per second is shared by several daemons. */
const MIN_WINDOW_MS = 4_000;

/** Rates below one request per this window are served by probes alone. */
const MAX_WINDOW_MS = 10_000;

/**
 * Age at which the upstream's last statement is to be confirmed by a request. A daemon without a
 * share sends nothing and hears nothing, so it would never learn that the limit has ended.
 */
const CONFIRMATION_AGE_MS = 10_000;

/** Upper bounds of the time between the probes of two daemons, and of a daemon's turn. */
const MAX_PROBE_GAP_MS = 4_000;
const MAX_PROBE_TURN_MS = 60_000;

export interface RateShareInput extends RankedDaemon {
  /** Requests per second that the upstream accepts from all daemons; 0 or more. */
  readonly ratePerS: number;
}

/** How many requests one daemon may send. */
export interface RateShare {
  /** In any `windowMs`; may be 0. */
  readonly requests: number;
  readonly windowMs: number;
  /** In any second; at least 1. */
  readonly requestsInAnyS: number;
}

export const getRateShare = ({ ratePerS, ...daemon }: RateShareInput): RateShare => {
  const msPerRequest = MS_PER_S / ratePerS;
  const total = Math.ceil(MIN_WINDOW_MS / msPerRequest);
  const windowMs = total * msPerRequest;
  const isServed = windowMs <= MAX_WINDOW_MS;
  return {
    requests: isServed ? divideByRank(total, daemon) : 0,
    windowMs: isServed ? windowMs : MAX_WINDOW_MS,
    requestsInAnyS: Math.max(1, Math.ceil(ratePerS)),
  };
};

/**
 * Age in ms of the last statement from which this daemon may send one request to have it confirmed.
 * The daemons take turns, so that all probes together keep to the rate.
 */
export const getProbeAgeMs = ({ ratePerS, rank }: RateShareInput): number => {
  const gapMs = Math.min(MAX_PROBE_GAP_MS, MS_PER_S / ratePerS);
  return CONFIRMATION_AGE_MS + Math.min(MAX_PROBE_TURN_MS, rank * gapMs);
};

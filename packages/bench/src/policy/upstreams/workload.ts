/** Draws requests: short and long prompts, shared prefixes, long-tailed answers. */
import type { Random } from '@snipehaven/common';
import {
  DEADLINE_MS,
  DECODE_MEDIAN_MS,
  DECODE_SIGMA,
  IDEMPOTENT_SHARE,
  LONG_PREFILL_MS,
  LONG_PROMPT_SHARE,
  PREFIX_COUNT,
  SHORT_PREFILL_MS,
} from './constants.js';
import type { SimulatedRequest, TeamLoad } from './types.js';

const drawBetween = ([low, high]: readonly [number, number], random: Random): number =>
  low + (high - low) * random.next();

const drawNormal = (random: Random): number =>
  Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());

/** Popular prefixes are far more frequent than rare ones. */
const drawPrefix = (random: Random): string =>
  `prefix-${Math.floor(PREFIX_COUNT * random.next() ** 3)}`;

/** The gap to the next arrival of a Poisson process. */
export const drawGapMs = (ratePerSecond: number, random: Random): number =>
  (-Math.log(1 - random.next()) * 1_000) / ratePerSecond;

/** One request of a team. */
export const drawRequest = (
  id: string,
  { team, weight }: TeamLoad,
  nowMs: number,
  random: Random,
): SimulatedRequest => ({
  id,
  team,
  weight,
  arrivedAtMs: nowMs,
  deadlineAtMs: nowMs + drawBetween(DEADLINE_MS, random),
  prefillMs: drawBetween(
    random.next() < LONG_PROMPT_SHARE ? LONG_PREFILL_MS : SHORT_PREFILL_MS,
    random,
  ),
  decodeMs: DECODE_MEDIAN_MS * Math.exp(DECODE_SIGMA * drawNormal(random)),
  prefixKey: drawPrefix(random),
  isIdempotent: random.next() < IDEMPOTENT_SHARE,
  returns: 0,
});

/**
 * The cascade over the models of one route: the smallest model answers first and reports its
 * confidence. An answer with low confidence is discarded before any of it reaches the caller, and
 * the largest model is asked instead.
 *
 * The required confidence depends on the load. The largest model takes ten times as long as the
 * smallest one. While upstreams have free capacity, an uncertain answer is worth asking again; if
 * the better answer would be late, or would delay the requests queued behind it, the present answer
 * is kept.
 */

export interface CascadeInput {
  /** From smallest to largest. */
  readonly models: readonly string[];
  /** The model's confidence in its answer, from 0 to 100. */
  readonly confidence: number;
  /** Time left until the answer counts as late. */
  readonly onTimeLeftMs: number;
  /** Queueing time at the largest model's best upstream. */
  readonly waitMs: number;
  /** Mean queueing time over the upstreams. */
  readonly meanWaitMs: number;
  /** Expected time until the largest model's answer starts there: queueing plus prefill. */
  readonly expectedStartMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly canAttemptAgain: boolean;
}

/**
 * Confidence below which an answer is asked again while upstreams are idle, by priority. The least
 * urgent requests are worth the least to their callers, but the cost of the larger model per
 * request does not decrease with that value.
 */
const IDLE_THRESHOLDS = [60, 60, 35] as const;

/** For all further priorities. */
const DEFAULT_IDLE_THRESHOLD = 35;

const getIdleThreshold = (priority: number): number =>
  IDLE_THRESHOLDS[priority] ?? DEFAULT_IDLE_THRESHOLD;

/**
 * Threshold when the better answer would be late. No confidence is too low then: an uncertain
 * answer in time is worth more to the caller than a certain one that is late, and the engine time
 * spent on it delays the requests behind it as well.
 */
const LATE_THRESHOLD = 0;

/**
 * Expected start of the better answer on an idle system, as a fraction of the time left. Up to the
 * first bound the answer is in time, beyond the second it is late.
 */
const LATENESS_RAMP_START = 0.7;
const LATENESS_RAMP_END = 1.2;

/**
 * Bounds on the mean queueing time, as a fraction of the time left. Between them, both lateness
 * bounds are gradually lowered, by up to `PRESSURE_SHIFT`. Queueing indicates how much work has
 * arrived that is not known yet, because many daemons see the same idle upstream.
 */
const PRESSURE_RAMP_START = 0.05;
const PRESSURE_RAMP_END = 0.12;
const PRESSURE_SHIFT = 0.4;

/**
 * Bounds on the queueing time of other requests, as a fraction of the time left. Beyond the first
 * one, additional work makes some of them late.
 */
const QUEUEING_RAMP_START = 0.3;
const QUEUEING_RAMP_END = 1;

/**
 * Less urgent requests yield earlier: each priority level increases the weight of the queueing time
 * by this much.
 */
const PRIORITY_WAIT_WEIGHT = 0.5;

/** Linear ramp: 0 up to the first bound, 1 from the second bound on. */
const ramp = (value: number, from: number, to: number): number =>
  Math.min(1, Math.max(0, (value - from) / (to - from)));

/** Returns the confidence from which an answer is kept. */
export const getConfidenceThreshold = (
  input: Pick<
    CascadeInput,
    'expectedStartMs' | 'waitMs' | 'meanWaitMs' | 'onTimeLeftMs' | 'priority'
  >,
): number => {
  const leftMs = Math.max(1, input.onTimeLeftMs);
  const pressure = ramp(input.meanWaitMs / leftMs, PRESSURE_RAMP_START, PRESSURE_RAMP_END);
  const shift = PRESSURE_SHIFT * pressure;
  const lateness = ramp(
    input.expectedStartMs / leftMs,
    LATENESS_RAMP_START - shift,
    LATENESS_RAMP_END - shift,
  );
  const wait = (input.waitMs / leftMs) * (1 + PRIORITY_WAIT_WEIGHT * input.priority);
  const queueing = ramp(wait, QUEUEING_RAMP_START, QUEUEING_RAMP_END);
  const idleThreshold = getIdleThreshold(input.priority);
  return idleThreshold - (idleThreshold - LATE_THRESHOLD) * Math.max(lateness, queueing);
};

/** Whether the confidence is high enough to keep the answer even when all upstreams are idle. */
export const isAlwaysSure = (confidence: number, priority: number): boolean =>
  confidence >= getIdleThreshold(priority);

/** Returns the model to ask instead, or undefined if the present answer is kept. */
export const chooseNextModel = (input: CascadeInput, current: string): string | undefined => {
  const largest = input.models.at(-1);
  if (largest === undefined || largest === current || !input.canAttemptAgain) {
    return undefined;
  }
  return input.confidence >= getConfidenceThreshold(input) ? undefined : largest;
};

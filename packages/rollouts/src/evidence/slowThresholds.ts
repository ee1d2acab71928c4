/** Above which time an answer counts as slow: a running quantile for each model and task. */
import { MIN_SLOW_SAMPLES, SLOW_QUANTILE, SLOW_STEP } from '../constants.js';

interface Threshold {
  readonly count: number;
  readonly thresholdMs: number;
}

/**
 * All versions of a model are held to the same threshold, so that the roll-out's guard compares like with
 * like, whatever the threshold is.
 */
export class SlowThresholds {
  readonly #thresholds = new Map<string, Threshold>();

  /** Takes in one answer's time; returns whether it was slow by the threshold before. */
  observe(model: string, task: string, totalMs: number): boolean {
    const key = `${model}|${task}`;
    const { count, thresholdMs } = this.#thresholds.get(key) ?? { count: 0, thresholdMs: totalMs };
    const isAbove = totalMs > thresholdMs;
    const move = isAbove ? SLOW_QUANTILE : SLOW_QUANTILE - 1;
    const moved = thresholdMs * (1 + SLOW_STEP * move);
    this.#thresholds.set(key, { count: count + 1, thresholdMs: Math.max(1, moved) });
    return isAbove && count >= MIN_SLOW_SAMPLES;
  }
}

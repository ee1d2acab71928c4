/** Classifies answers as slow by a running latency quantile per model and task. */
import { MIN_SLOW_SAMPLES, SLOW_QUANTILE, SLOW_STEP } from '../constants.js';

interface Threshold {
  readonly count: number;
  readonly thresholdMs: number;
}

/**
 * All versions of a model share one threshold, so that the roll-out guard compares them on equal
 * terms whatever its value.
 */
export class SlowThresholds {
  readonly #thresholds = new Map<string, Threshold>();

  /** Records the latency of an answer; returns whether it exceeded the previous threshold. */
  observe(model: string, task: string, totalMs: number): boolean {
    const key = `${model}|${task}`;
    const { count, thresholdMs } = this.#thresholds.get(key) ?? { count: 0, thresholdMs: totalMs };
    const isAbove = totalMs > thresholdMs;
    const adjustment = isAbove ? SLOW_QUANTILE : SLOW_QUANTILE - 1;
    const adjustedMs = thresholdMs * (1 + SLOW_STEP * adjustment);
    this.#thresholds.set(key, { count: count + 1, thresholdMs: Math.max(1, adjustedMs) });
    return isAbove && count >= MIN_SLOW_SAMPLES;
  }
}

/**
 * Decides whether the configuration is recent enough to refuse a request because its route or key
 * is unknown. Callers do not repeat a request after such a refusal, so it must not be based on a
 * configuration that the operator may have replaced by one that has to be in force by now.
 */
import type { Freshness } from './freshness.js';

/**
 * A VM that has had an outdated configuration for this long is cut off from the store. Further
 * repeats would not help callers, so unknown routes and keys get a final answer again.
 */
const CUT_OFF_MS = 5_000;

export class AbsenceCheck {
  readonly #freshness: Pick<Freshness, 'ageMs'>;

  readonly #maxAgeMs: number;

  /** When the configuration was first found to be outdated; undefined if it was not. */
  #outdatedSinceMs: number | undefined;

  /** `maxAgeMs`: time within which a configuration must be in force. */
  constructor(freshness: Pick<Freshness, 'ageMs'>, maxAgeMs: number) {
    this.#freshness = freshness;
    this.#maxAgeMs = maxAgeMs;
  }

  /** Whether what is missing in the configuration may be called unknown. */
  isConclusive(): boolean {
    const { ageMs } = this.#freshness;
    if (ageMs <= this.#maxAgeMs) {
      this.#outdatedSinceMs = undefined;
      return true;
    }
    const nowMs = performance.now();
    const outdatedMs = nowMs - (this.#outdatedSinceMs ?? nowMs);
    const wasConfirmedSince = ageMs < outdatedMs;
    if (this.#outdatedSinceMs === undefined || wasConfirmedSince) {
      this.#outdatedSinceMs = nowMs;
      return false;
    }
    return outdatedMs >= CUT_OFF_MS;
  }
}

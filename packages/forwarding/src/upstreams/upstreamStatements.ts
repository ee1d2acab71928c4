/**
 * What one incarnation of an upstream has said of itself in its answers. Kept apart from its entry,
 * which is replaced when the list loses the upstream and names it again.
 */
import { BackOffState } from './backOffState.js';
import { RateLimitState } from './rateLimitState.js';

export class UpstreamStatements {
  readonly rateLimit = new RateLimitState();

  readonly backOff = new BackOffState();

  #leavingSinceMs: number | undefined;

  /** When any daemon first heard that it is leaving; undefined while it is not. */
  get leavingSinceMs(): number | undefined {
    return this.#leavingSinceMs;
  }

  /** An upstream that is leaving never stays. Returns true if this was not known. */
  markLeaving(sinceMs: number): boolean {
    const isNew = this.#leavingSinceMs === undefined;
    this.#leavingSinceMs = Math.min(sinceMs, this.#leavingSinceMs ?? Infinity);
    return isNew;
  }
}

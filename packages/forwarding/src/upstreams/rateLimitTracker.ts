/** Follows the rate limits that upstreams state in their answers. */
import type { Logger } from '@snipehaven/common';
import type { StatedRateLimit } from '../types.js';
import type { RateLimitReport } from './rateLimitState.js';
import type { UpstreamEntry } from './upstreamEntry.js';

/** Longer values are cut off in the log. */
const MAX_LOGGED_CHARS = 40;

/** Between log lines about invalid limits, to bound the log. */
const INVALID_LOG_INTERVAL_MS = 1_000;

export class RateLimitTracker {
  readonly #logger: Logger;

  #invalidLoggedAtMs = -Infinity;

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  /** Records what an answer said; `sentAtMs`: when its request was sent. */
  recordAnswer(entry: UpstreamEntry, stated: StatedRateLimit, sentAtMs: number): void {
    if (stated.kind === 'invalid') {
      this.#logInvalid(entry, stated.text);
      return;
    }
    const requestsPerS = stated.kind === 'limited' ? stated.requestsPerS : undefined;
    this.#apply(entry, { requestsPerS, sentAtMs, heardAtMs: performance.now() });
  }

  #apply(entry: UpstreamEntry, report: RateLimitReport): void {
    const { requestsPerS: before } = entry.rateLimit;
    const change = entry.rateLimit.apply(report);
    if (change !== undefined) {
      this.#logger.info(
        {
          event: 'upstreamRateLimit',
          upstream: entry.id,
          life: entry.lifeId,
          change,
          requestsPerS: report.requestsPerS,
          before,
          ageMs: Math.round(performance.now() - report.heardAtMs),
        },
        'the request rate that an upstream accepts has changed',
      );
    }
  }

  #logInvalid(entry: UpstreamEntry, text: string): void {
    const nowMs = performance.now();
    if (nowMs - this.#invalidLoggedAtMs >= INVALID_LOG_INTERVAL_MS) {
      this.#invalidLoggedAtMs = nowMs;
      this.#logger.warn(
        { event: 'rateLimitInvalid', upstream: entry.id, text: text.slice(0, MAX_LOGGED_CHARS) },
        'ignored a rate limit that is not a number of requests per second within bounds',
      );
    }
  }
}

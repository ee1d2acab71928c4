/** The request rate that one incarnation of an upstream accepts, by its latest answers. */

/** What one answer said, or what another daemon reports of an answer. Times are `performance.now()`. */
export interface RateLimitReport {
  /** Requests per second from all daemons together; undefined if the answer named no limit. */
  readonly requestsPerS: number | undefined;
  /** When the answered request was sent. */
  readonly sentAtMs: number;
  /** When the answer arrived. */
  readonly heardAtMs: number;
}

/** How a report changed the known limit. */
export type RateLimitChange = 'begun' | 'changed' | 'ended';

const BEFORE_ANY_ANSWER: RateLimitReport = {
  requestsPerS: undefined,
  sentAtMs: -Infinity,
  heardAtMs: -Infinity,
};

/** At least the window and the second for which `getRateShare` counts requests. */
const SENT_MEMORY_MS = 10_000;

export class RateLimitState {
  #latest = BEFORE_ANY_ANSWER;

  /** Times of the requests that this daemon sent while a limit was known, oldest first. */
  #sentAtMs: number[] = [];

  /** Requests per second from all daemons together; undefined while no limit is known. */
  get requestsPerS(): number | undefined {
    return this.#latest.requestsPerS;
  }

  /** The report that the present state is based on. */
  get latest(): RateLimitReport {
    return this.#latest;
  }

  /** Whether the present state differs from the report and was heard later. */
  isNewerThan({ requestsPerS, heardAtMs }: RateLimitReport): boolean {
    return requestsPerS !== this.requestsPerS && this.heardAtMs > heardAtMs;
  }

  /** When the latest confirmation of the present state arrived at any daemon. */
  get heardAtMs(): number {
    return this.#latest.heardAtMs;
  }

  /** Counts a request of this daemon, while a limit is known. */
  recordSent(nowMs: number): void {
    if (this.requestsPerS !== undefined) {
      this.#sentAtMs = this.#sentAtMs.filter((atMs) => atMs > nowMs - SENT_MEMORY_MS);
      this.#sentAtMs.push(nowMs);
    }
  }

  get lastSentAtMs(): number {
    return this.#sentAtMs.at(-1) ?? -Infinity;
  }

  /**
   * Time in ms until one more request fits into a limit of so many requests in any `windowMs`;
   * Infinity if the limit is 0.
   */
  getWaitMs(requests: number, windowMs: number, nowMs: number): number {
    if (requests <= 0) {
      return Infinity;
    }
    const oldest = this.#sentAtMs.at(-requests) ?? -Infinity;
    return Math.max(0, oldest + windowMs - nowMs);
  }

  /** Returns what changed, if anything. */
  apply(report: RateLimitReport): RateLimitChange | undefined {
    const known = this.#latest;
    if (report.requestsPerS === known.requestsPerS) {
      this.#latest = report.heardAtMs > known.heardAtMs ? report : known;
      return undefined;
    }
    if (!this.#isNewer(report)) {
      return undefined;
    }
    this.#latest = report;
    this.#sentAtMs = report.requestsPerS === undefined ? [] : this.#sentAtMs;
    if (report.requestsPerS === undefined) {
      return 'ended';
    }
    return known.requestsPerS === undefined ? 'begun' : 'changed';
  }

  /**
   * Answers overtake each other. A higher limit, or none, is believed only from a request that was
   * sent after the known limit was heard; a lower one at once.
   */
  #isNewer({ requestsPerS = Infinity, sentAtMs, heardAtMs }: RateLimitReport): boolean {
    const isStricter = requestsPerS < (this.requestsPerS ?? Infinity);
    return (isStricter ? heardAtMs : sentAtMs) > this.heardAtMs;
  }
}

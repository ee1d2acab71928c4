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

export type RateLimitChange = 'begun' | 'changed' | 'ended';

const BEFORE_ANY_ANSWER: RateLimitReport = {
  requestsPerS: undefined,
  sentAtMs: -Infinity,
  heardAtMs: -Infinity,
};

export class RateLimitState {
  #latest = BEFORE_ANY_ANSWER;

  /** Requests per second from all daemons together; undefined while no limit is known. */
  get requestsPerS(): number | undefined {
    return this.#latest.requestsPerS;
  }

  /** When the latest confirmation of the present state arrived at any daemon. */
  get heardAtMs(): number {
    return this.#latest.heardAtMs;
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

/** In-memory rater for tests, with delayed scores and simulated outages. */
import {
  PlatformRefusedError,
  type RaterClient,
  type Rating,
  type RatingPage,
  type RatingRequest,
} from '@snipehaven/platform';

const DELAY_MS = 3_000;

interface Pending {
  readonly dueMs: number;
  readonly request: RatingRequest;
}

export class FakeRater implements RaterClient {
  #isDown = false;

  #getScore: (request: RatingRequest) => number = () => 0.9;

  #pending: Pending[] = [];

  readonly #published: Rating[] = [];

  setDown(isDown: boolean): void {
    this.#isDown = isDown;
  }

  /** Sets the function that scores answers. */
  setScoring(getScore: (request: RatingRequest) => number): void {
    this.#getScore = getScore;
  }

  async submit(requests: readonly RatingRequest[]): Promise<void> {
    this.#checkAvailable();
    requests.forEach((request) => this.#pending.push({ dueMs: Date.now() + DELAY_MS, request }));
  }

  async rate(request: RatingRequest): Promise<number> {
    this.#checkAvailable();
    return this.#getScore(request);
  }

  async fetchRatings(afterSeq: number, limit: number): Promise<RatingPage> {
    this.#checkAvailable();
    this.#publishDue();
    const ratings = this.#published.filter(({ seq }) => seq > afterSeq).slice(0, limit);
    return { ratings, lastSeq: this.#published.length };
  }

  get publishedCount(): number {
    this.#publishDue();
    return this.#published.length;
  }

  #checkAvailable(): void {
    if (this.#isDown) {
      throw new PlatformRefusedError('the rater is down');
    }
  }

  #publishDue(): void {
    const due = this.#pending.filter(({ dueMs }) => dueMs <= Date.now());
    this.#pending = this.#pending.filter(({ dueMs }) => dueMs > Date.now());
    due.forEach(({ request }) => {
      const { id, team, task, version } = request;
      const seq = this.#published.length + 1;
      this.#published.push({ seq, id, team, task, version, score: this.#getScore(request) });
    });
  }
}

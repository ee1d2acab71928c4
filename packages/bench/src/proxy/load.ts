/** A closed-loop load over kept-alive connections, and what it measures. */
import { build, type Histogram } from 'hdr-histogram-js';
import { Pool } from 'undici';

export interface LoadOptions {
  readonly url: string;
  readonly key: string;
  readonly concurrency: number;
  readonly durationMs: number;
  readonly maxTokens: number;
  /** Mean pause between the requests of one sender; 0: as fast as answers come. */
  readonly pauseMs: number;
}

export interface LoadResult {
  readonly requestsPerSecond: number;
  readonly chunksPerSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly failures: number;
}

const MICROS_PER_MS = 1_000;
const EVENT_MARK = Buffer.from('data: ');

const countEvents = (bytes: Buffer): number => {
  let count = 0;
  for (let at = bytes.indexOf(EVENT_MARK); at >= 0; at = bytes.indexOf(EVENT_MARK, at + 1)) {
    count += 1;
  }
  return count;
};

const wait = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

class LoadRun {
  readonly #options: LoadOptions;

  readonly #pool: Pool;

  readonly #histogram: Histogram = build({ highestTrackableValue: 60_000_000 });

  #requests = 0;

  #chunks = 0;

  #failures = 0;

  constructor(options: LoadOptions) {
    this.#options = options;
    this.#pool = new Pool(options.url, { connections: options.concurrency });
  }

  async run(): Promise<LoadResult> {
    const startedAtMs = performance.now();
    const endsAtMs = startedAtMs + this.#options.durationMs;
    const senders = Array.from({ length: this.#options.concurrency }, (_, index) =>
      this.#send(index, endsAtMs),
    );
    await Promise.all(senders);
    const seconds = (performance.now() - startedAtMs) / 1_000;
    await this.#pool.destroy();
    return {
      requestsPerSecond: this.#requests / seconds,
      chunksPerSecond: this.#chunks / seconds,
      p50Ms: this.#histogram.getValueAtPercentile(50) / MICROS_PER_MS,
      p99Ms: this.#histogram.getValueAtPercentile(99) / MICROS_PER_MS,
      failures: this.#failures,
    };
  }

  async #send(sender: number, endsAtMs: number): Promise<void> {
    const { pauseMs } = this.#options;
    for (let turn = 0; performance.now() < endsAtMs; turn += 1) {
      if (pauseMs > 0) {
        // A fixed spread that repeats in each run, so that runs are alike.
        await wait((pauseMs * ((sender * 31 + turn * 17) % 100)) / 50);
      }
      await this.#sendOne(`${sender}-${turn}`);
    }
  }

  async #sendOne(name: string): Promise<void> {
    const startedAtMs = performance.now();
    try {
      const answer = await this.#pool.request({
        method: 'POST',
        path: '/v1/chat/completions',
        headers: {
          'content-type': 'application/json',
          authorization: `Bearer ${this.#options.key}`,
        },
        body: JSON.stringify({
          model: 'scribe@1',
          stream: true,
          max_tokens: this.#options.maxTokens,
          messages: [{ role: 'user', content: `Tag this report, please. Number ${name}.` }],
        }),
      });
      for await (const bytes of answer.body) {
        this.#chunks += countEvents(bytes as Buffer);
      }
      this.#failures += answer.statusCode === 200 ? 0 : 1;
    } catch {
      this.#failures += 1;
    }
    this.#requests += 1;
    this.#histogram.recordValue(Math.round((performance.now() - startedAtMs) * MICROS_PER_MS));
  }
}

/** Loads one target; resolves with what it measured. */
export const runLoad = (options: LoadOptions): Promise<LoadResult> => new LoadRun(options).run();

/**
 * Tells an upstream whose process ended from one that closed a connection. Both look alike to a request:
 * its connection is closed without a whole answer. Only after an end does nobody listen any more, so one
 * connection is made to find out, whatever the number of requests that were lost.
 */
import type { RequestDigest } from '@snipehaven/common';
import type { ProbeOutcome } from '../exchange/index.js';

/** A request that this daemon has at an upstream. */
export interface SentRequest {
  readonly attemptId: string;
  readonly digest: RequestDigest;
  readonly sentAtMs: number;
  /** When its answer began; absent before. */
  readonly beganAtMs: number | undefined;
  /** From now on it is held back. */
  onHeld(): void;
}

/** `unknown`: nobody answered, as behind a cut. */
export type EndVerdict = 'ended' | 'listening' | 'unknown';

const verdicts: Readonly<Record<ProbeOutcome, EndVerdict>> = {
  refused: 'ended',
  listening: 'listening',
  silent: 'unknown',
};

export interface EndWatchOptions {
  probe(): Promise<ProbeOutcome>;
  /** Called once, with all that was at the upstream. */
  onEnd(lost: readonly SentRequest[]): void;
  /** Called when the upstream turns out to live after all. */
  onAlive(): void;
}

export class EndWatch {
  readonly #options: EndWatchOptions;

  readonly #running = new Set<SentRequest>();

  #lost: SentRequest[] = [];

  #check: Promise<EndVerdict> | undefined;

  #endedAtMs: number | undefined;

  constructor(options: EndWatchOptions) {
    this.#options = options;
  }

  /** Absent while the process is not known to have ended. */
  get endedAtMs(): number | undefined {
    return this.#endedAtMs;
  }

  /** Requests that are there now. */
  get running(): Iterable<SentRequest> {
    return this.#running;
  }

  /** The upstream itself has begun to answer the request. */
  noteServed({ sentAtMs }: SentRequest): void {
    if (this.#endedAtMs !== undefined && sentAtMs > this.#endedAtMs) {
      this.#endedAtMs = undefined;
      this.#options.onAlive();
    }
  }

  enter(request: SentRequest): void {
    this.#running.add(request);
  }

  leave(request: SentRequest): void {
    this.#running.delete(request);
  }

  /** The request's connection was closed without a whole answer. Resolves with what the upstream did. */
  noteLoss(request: SentRequest): Promise<EndVerdict> {
    if (this.#endedAtMs !== undefined) {
      return Promise.resolve('ended');
    }
    this.#lost.push(request);
    this.#check ??= this.#findOut();
    return this.#check;
  }

  async #findOut(): Promise<EndVerdict> {
    const verdict = verdicts[await this.#options.probe()];
    const lost = [...this.#lost, ...this.#running];
    this.#check = undefined;
    this.#lost = [];
    if (verdict === 'ended') {
      this.#endedAtMs = performance.now();
      this.#options.onEnd(lost);
    }
    return verdict;
  }
}

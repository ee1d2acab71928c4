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
export type ExitVerdict = 'ended' | 'listening' | 'unknown';

const verdicts: Readonly<Record<ProbeOutcome, ExitVerdict>> = {
  refused: 'ended',
  listening: 'listening',
  silent: 'unknown',
};

export interface ExitDetectorOptions {
  probe(): Promise<ProbeOutcome>;
  /** Called once, with all that was at the upstream. */
  onEnd(lost: readonly SentRequest[]): void;
  /** Called when the upstream turns out to live after all. */
  onAlive(): void;
}

export class ExitDetector {
  readonly #options: ExitDetectorOptions;

  readonly #inFlight = new Set<SentRequest>();

  #lost: SentRequest[] = [];

  #pendingProbe: Promise<ExitVerdict> | undefined;

  #exitedAtMs: number | undefined;

  constructor(options: ExitDetectorOptions) {
    this.#options = options;
  }

  /** Absent while the process is not known to have ended. */
  get exitedAtMs(): number | undefined {
    return this.#exitedAtMs;
  }

  /** Requests that are there now. */
  get inFlight(): Iterable<SentRequest> {
    return this.#inFlight;
  }

  /** The upstream itself has begun to answer the request. */
  onResponseStarted({ sentAtMs }: SentRequest): void {
    if (this.#exitedAtMs !== undefined && sentAtMs > this.#exitedAtMs) {
      this.#exitedAtMs = undefined;
      this.#options.onAlive();
    }
  }

  addRequest(request: SentRequest): void {
    this.#inFlight.add(request);
  }

  removeRequest(request: SentRequest): void {
    this.#inFlight.delete(request);
  }

  /** The request's connection was closed without a whole answer. Resolves with what the upstream did. */
  onConnectionLost(request: SentRequest): Promise<ExitVerdict> {
    if (this.#exitedAtMs !== undefined) {
      return Promise.resolve('ended');
    }
    this.#lost.push(request);
    this.#pendingProbe ??= this.#probeProcess();
    return this.#pendingProbe;
  }

  async #probeProcess(): Promise<ExitVerdict> {
    const verdict = verdicts[await this.#options.probe()];
    const lost = [...this.#lost, ...this.#inFlight];
    this.#pendingProbe = undefined;
    this.#lost = [];
    if (verdict === 'ended') {
      this.#exitedAtMs = performance.now();
      this.#options.onEnd(lost);
    }
    return verdict;
  }
}

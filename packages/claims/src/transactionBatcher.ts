/** Group commit: sends queued transactions to the table in batches. */
import type { Random } from '@snipehaven/common';
import { PlatformOutcomeUnknownError, PlatformRefusedError } from '@snipehaven/platform';
import type { TableClient, TableTransaction, TransactionResult } from '@snipehaven/platform';
import { NotSentError } from './errors.js';
import type { ClaimSettings } from './types.js';

interface Entry {
  readonly transaction: TableTransaction;
  /** The transaction is not sent after this time. */
  readonly giveUpAtMs: number;
  readonly resolve: (result: TransactionResult) => void;
  readonly reject: (error: unknown) => void;
}

type BatcherSettings = Pick<
  ClaimSettings,
  'groupCommitMs' | 'maxBatch' | 'maxBatchesInFlight' | 'maxQueuedTransactions' | 'retryAfterMs'
>;

/** Counters of one batcher. */
export interface BatcherCounts {
  readonly calls: number;
  readonly transactions: number;
  readonly rateLimited: number;
  readonly queued: number;
}

const BATCH_GROWTH = 4;
const FIRST_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 640;

const isRateLimit = (error: unknown): error is PlatformRefusedError & { retryAfterMs: number } =>
  error instanceof PlatformRefusedError && error.retryAfterMs !== undefined;

const settleEntry = (entry: Entry, result: TransactionResult | undefined): void => {
  if (result) {
    entry.resolve(result);
  } else {
    entry.reject(new PlatformOutcomeUnknownError('table returned no result for the transaction'));
  }
};

/**
 * Sends transactions in bounded batches, with a bounded number in flight. When rate-limited, waits for
 * `Retry-After` plus a backoff and halves the batch size, since a batch larger than the table's burst
 * limit would never be accepted.
 */
export class TransactionBatcher {
  readonly #table: TableClient;

  readonly #settings: BatcherSettings;

  readonly #random: Random;

  #queue: Entry[] = [];

  #timer: NodeJS.Timeout | undefined;

  #inFlight = 0;

  #batchLimit: number;

  #pausedUntilMs = 0;

  #backoffMs = 0;

  #calls = 0;

  #transactions = 0;

  #rateLimited = 0;

  constructor(table: TableClient, settings: BatcherSettings, random: Random) {
    this.#table = table;
    this.#settings = settings;
    this.#random = random;
    this.#batchLimit = settings.maxBatch;
  }

  get counts(): BatcherCounts {
    return {
      calls: this.#calls,
      transactions: this.#transactions,
      rateLimited: this.#rateLimited,
      queued: this.#queue.length,
    };
  }

  /**
   * Resolves with the result of this transaction. Rejects with `NotSentError` if it was never sent,
   * else with a platform error; `PlatformOutcomeUnknownError` applies to the whole batch.
   */
  submit(transaction: TableTransaction, giveUpAtMs: number): Promise<TransactionResult> {
    if (this.#queue.length >= this.#settings.maxQueuedTransactions) {
      return Promise.reject(new NotSentError('transaction queue is full', this.#getRetryAfterMs()));
    }
    if (this.#pausedUntilMs > giveUpAtMs) {
      return Promise.reject(new NotSentError('table rate limit exceeded', this.#getRetryAfterMs()));
    }
    return new Promise((resolve, reject) => {
      this.#queue.push({ transaction, giveUpAtMs, resolve, reject });
      this.#schedule();
    });
  }

  #getRetryAfterMs(): number {
    return Math.max(this.#settings.retryAfterMs, this.#pausedUntilMs - Date.now());
  }

  #schedule(): void {
    const isBusy = this.#inFlight >= this.#settings.maxBatchesInFlight;
    if (this.#timer || isBusy || this.#queue.length === 0) {
      return;
    }
    const isFull = this.#queue.length >= this.#batchLimit;
    const waitMs = Math.max(
      isFull ? 0 : this.#settings.groupCommitMs,
      this.#pausedUntilMs - Date.now(),
    );
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      void this.#sendNext();
    }, waitMs);
  }

  async #sendNext(): Promise<void> {
    const batch = this.#takeBatch();
    if (batch.length > 0) {
      this.#inFlight += 1;
      await this.#send(batch);
      this.#inFlight -= 1;
    }
    this.#schedule();
  }

  #takeBatch(): readonly Entry[] {
    const nowMs = Date.now();
    const expired = this.#queue.filter((entry) => entry.giveUpAtMs < nowMs);
    expired.forEach((entry) =>
      entry.reject(new NotSentError('timed out in the transaction queue', this.#getRetryAfterMs())),
    );
    const waiting = this.#queue.filter((entry) => entry.giveUpAtMs >= nowMs);
    this.#queue = waiting.slice(this.#batchLimit);
    return waiting.slice(0, this.#batchLimit);
  }

  async #send(batch: readonly Entry[]): Promise<void> {
    this.#calls += 1;
    this.#transactions += batch.length;
    try {
      const results = await this.#table.transact(batch.map((entry) => entry.transaction));
      this.#batchLimit = Math.min(this.#settings.maxBatch, this.#batchLimit + BATCH_GROWTH);
      this.#backoffMs = Math.floor(this.#backoffMs / 2);
      batch.forEach((entry, index) => settleEntry(entry, results[index]));
    } catch (error) {
      this.#handleFailure(batch, error);
    }
  }

  #handleFailure(batch: readonly Entry[], error: unknown): void {
    if (!isRateLimit(error)) {
      batch.forEach((entry) => entry.reject(error));
      return;
    }
    this.#rateLimited += 1;
    this.#transactions -= batch.length;
    this.#batchLimit = Math.max(1, Math.floor(batch.length / 2));
    this.#pause(error.retryAfterMs);
    this.#queue = [...batch, ...this.#queue];
    this.#rejectHopeless();
  }

  /**
   * Adds exponential backoff with random jitter to `Retry-After`. Otherwise all daemons retry at the
   * same moment, most are refused again, and rate-limited calls far outnumber commits.
   */
  #pause(retryAfterMs: number): void {
    this.#backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(FIRST_BACKOFF_MS, this.#backoffMs * 2));
    const pauseMs = retryAfterMs + this.#random.next() * this.#backoffMs;
    this.#pausedUntilMs = Math.max(this.#pausedUntilMs, Date.now() + Math.ceil(pauseMs));
  }

  /** Rejects transactions whose time limit ends before the pause does. */
  #rejectHopeless(): void {
    const isHopeless = (entry: Entry): boolean => entry.giveUpAtMs < this.#pausedUntilMs;
    const hopeless = this.#queue.filter(isHopeless);
    this.#queue = this.#queue.filter((entry) => !isHopeless(entry));
    hopeless.forEach((entry) =>
      entry.reject(new NotSentError('table rate limit exceeded', this.#getRetryAfterMs())),
    );
  }
}

/** Whether the error proves that the transaction was not and will not be executed. */
export const isProvenNotDone = (error: unknown): error is NotSentError | PlatformRefusedError =>
  error instanceof NotSentError || error instanceof PlatformRefusedError;

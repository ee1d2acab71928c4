/** Claim store backed by the platform table, the only state that all daemons agree on. */
import { getErrorMessage, invariant, sleep, type Logger, type Random } from '@snipehaven/common';
import type { ObjectStoreClient, TableClient } from '@snipehaven/platform';
import type { TimelineRecorder } from '@snipehaven/timeline';
import { AnswerKeeper } from './answerKeeper.js';
import { ClaimCleaner, type CleanUpResult } from './claimCleaner.js';
import { getClaimRowKey, type ClaimRow } from './claimRow.js';
import { ClaimTaker, type TakeResult } from './claimTaker.js';
import { DEFAULT_CLAIM_SETTINGS } from './constants.js';
import { AnswerNotKeptError, ClaimsUnavailableError, NotSentError } from './errors.js';
import type { RowVerdict } from './judgeRow.js';
import { OutcomeWriter, type OutcomeFields } from './outcomeWriter.js';
import { answerFromPending, PendingClaim } from './pendingClaims.js';
import { TransactionBatcher, type BatcherCounts } from './transactionBatcher.js';
import type {
  Claim,
  ClaimOutcome,
  ClaimRequest,
  ClaimSettings,
  ClaimStore,
  StoredAnswer,
} from './types.js';

export interface TableClaimStoreOptions {
  readonly table: TableClient;
  /** If absent, large answers are stored in the rows too. */
  readonly objectStore?: ObjectStoreClient;
  /** Identifies this run of the daemon process. */
  readonly incarnation: string;
  readonly isIncarnationAlive: (incarnation: string) => boolean;
  readonly timeline: TimelineRecorder;
  readonly logger: Logger;
  readonly random: Random;
  readonly settings?: Partial<ClaimSettings>;
}

const TOKEN_RANDOM_LIMIT = 2 ** 31;
const TOKEN_RADIX = 36;

/** Resolves with the promise's value, or undefined if `giveUpAtMs` passes first. */
const waitUntil = async <Value>(
  promise: Promise<Value>,
  giveUpAtMs: number,
): Promise<Value | undefined> => {
  const timeout = new AbortController();
  const waiting = sleep(Math.max(0, giveUpAtMs - Date.now()), timeout.signal);
  const value = await Promise.race([promise, waiting.then(() => undefined)]);
  timeout.abort();
  return value;
};

export class TableClaimStore implements ClaimStore {
  readonly #options: TableClaimStoreOptions;

  readonly #settings: ClaimSettings;

  readonly #batcher: TransactionBatcher;

  readonly #taker: ClaimTaker;

  readonly #writer: OutcomeWriter;

  readonly #answers: AnswerKeeper;

  readonly #cleaner: ClaimCleaner;

  /** Claims by row key, from the first write until the outcome is in the table. */
  readonly #pending = new Map<string, PendingClaim>();

  readonly #writes = new Set<Promise<unknown>>();

  #tokenCount = 0;

  constructor(options: TableClaimStoreOptions) {
    const settings = { ...DEFAULT_CLAIM_SETTINGS, ...options.settings };
    const batcher = new TransactionBatcher(options.table, settings, options.random);
    const shared = { ...options, settings, batcher };
    this.#options = options;
    this.#settings = settings;
    this.#batcher = batcher;
    this.#answers = new AnswerKeeper(options.objectStore, settings.maxInlineAnswerBytes);
    this.#taker = new ClaimTaker(shared);
    this.#writer = new OutcomeWriter(shared);
    this.#cleaner = new ClaimCleaner({ ...shared, answers: this.#answers });
  }

  /** Number of claims held by this daemon or with an outcome not yet in the table. */
  get pendingCount(): number {
    return this.#pending.size;
  }

  get batcherCounts(): BatcherCounts {
    return this.#batcher.counts;
  }

  async claim(request: ClaimRequest): Promise<ClaimOutcome> {
    const rowKey = getClaimRowKey(request.teamUid, request.key);
    const giveUpAtMs = Math.min(Date.now() + this.#settings.maxClaimWaitMs, request.deadlineAtMs);
    let pending = this.#pending.get(rowKey);
    while (pending) {
      const outcome = answerFromPending(pending, request, this.#settings.retryAfterMs);
      if (outcome) {
        return outcome;
      }
      await this.#waitForChange(pending, giveUpAtMs);
      pending = this.#pending.get(rowKey);
    }
    return this.#take(request, rowKey, giveUpAtMs);
  }

  async finish(claim: Claim, answer: StoredAnswer): Promise<void> {
    const pending = this.#getHeld(claim);
    pending.finish(answer);
    const giveUpAtMs = Date.now() + this.#settings.maxUnwrittenAnswerMs;
    let kept: OutcomeFields | undefined;
    const prepare = async (): Promise<OutcomeFields> => {
      kept ??= { state: 'finished', ...(await this.#answers.keep(claim, answer)) };
      return kept;
    };
    const result = await this.#track(this.#writer.write(pending, claim.fence, prepare, giveUpAtMs));
    if (result === 'written') {
      this.#forget(pending);
      this.#record('claimFinished', pending);
      return;
    }
    this.#giveAnswerUp(pending, result === 'gone');
    throw new AnswerNotKeptError(`answer of claim ${pending.rowKey} was not stored: ${result}`);
  }

  async release(claim: Claim): Promise<void> {
    await this.#settle(this.#getHeld(claim), 'releasing', claim.fence);
  }

  async markUnknown(claim: Claim): Promise<void> {
    await this.#settle(this.#getHeld(claim), 'markingUnknown', claim.fence);
  }

  /** Scans one page per call and deletes expired rows; throws platform errors. */
  cleanUp(nowMs: number): Promise<CleanUpResult> {
    return this.#cleaner.cleanUp(nowMs);
  }

  /** Waits during shutdown until all pending writes end, for at most `timeoutMs`. */
  async flush(timeoutMs: number): Promise<{ readonly unwritten: number }> {
    await waitUntil(Promise.allSettled([...this.#writes]), Date.now() + timeoutMs);
    return { unwritten: this.#writes.size };
  }

  /** Stops background writes. */
  stop(): void {
    this.#writer.stop();
  }

  async #take(request: ClaimRequest, rowKey: string, giveUpAtMs: number): Promise<ClaimOutcome> {
    if (this.#pending.size >= this.#settings.maxPendingClaims) {
      throw this.#createUnavailable('too many claims are pending');
    }
    const pending = new PendingClaim(request, rowKey, this.#createToken());
    this.#pending.set(rowKey, pending);
    const taking = this.#taker.take(pending, request, giveUpAtMs);
    const result = await waitUntil(taking, giveUpAtMs);
    if (result) {
      return this.#handleTaken(pending, result);
    }
    pending.enter('abandoned');
    void this.#track(taking).then((late) => this.#handleLate(pending, late));
    throw this.#createUnavailable('table did not reply in time');
  }

  async #handleTaken(pending: PendingClaim, result: TakeResult): Promise<ClaimOutcome> {
    switch (result.kind) {
      case 'taken':
        return this.#hold(pending, result.fence);
      case 'held':
        this.#forget(pending);
        return this.#answerFromRow(result.verdict, result.row);
      case 'notTaken':
        this.#forget(pending);
        throw this.#createUnavailable('table unavailable', result.cause);
      default:
        this.#abandon(pending, result.rowVersion);
        throw this.#createUnavailable('table did not reply', result.cause);
    }
  }

  /** Releases a claim whose result arrived after its request had been refused. */
  #handleLate(pending: PendingClaim, result: TakeResult): void {
    if (result.kind === 'taken') {
      this.#abandon(pending, result.fence);
    } else if (result.kind === 'undecided') {
      this.#abandon(pending, result.rowVersion);
    } else {
      this.#forget(pending);
    }
  }

  #hold(pending: PendingClaim, fence: number): ClaimOutcome {
    const claim = pending.hold(fence);
    this.#record('claimTaken', pending);
    return { kind: 'claimed', claim };
  }

  /**
   * Releases the key of a refused request whose claim may have committed. Otherwise, after a lost reply
   * and a table outage longer than the request's wait, the row could block every retry until this daemon
   * dies, although nothing was dispatched. The release overwrites the claim if it is present, else the
   * absent or released row that the lost write expected, so that a late write fails its version check.
   */
  #abandon(pending: PendingClaim, rowVersion: number): void {
    this.#settle(pending, 'abandoned', rowVersion).catch((error: unknown) =>
      this.#options.logger.error(
        { err: getErrorMessage(error) },
        'failed to release an abandoned claim',
      ),
    );
  }

  async #settle(
    pending: PendingClaim,
    state: 'abandoned' | 'releasing' | 'markingUnknown',
    rowVersion: number,
  ): Promise<void> {
    pending.enter(state);
    const rowState = state === 'markingUnknown' ? 'unknown' : 'released';
    const prepare = async (): Promise<OutcomeFields> => ({ state: rowState });
    await this.#track(this.#writer.write(pending, rowVersion, prepare, Infinity));
    this.#forget(pending);
  }

  #giveAnswerUp(pending: PendingClaim, isGone: boolean): void {
    pending.dropAnswer();
    if (isGone) {
      this.#forget(pending);
      return;
    }
    this.#settle(pending, 'markingUnknown', pending.fence).catch(() => undefined);
  }

  async #answerFromRow(verdict: RowVerdict, row: ClaimRow | undefined): Promise<ClaimOutcome> {
    switch (verdict) {
      case 'finished':
        return this.#loadAnswer(row);
      case 'inProgress':
        return { kind: 'inProgress', retryAfterMs: this.#settings.retryAfterMs };
      case 'differentBody':
        return { kind: 'differentBody' };
      default:
        return { kind: 'outcomeUnknown' };
    }
  }

  /**
   * While the object store is unavailable the answer cannot be read. The request did run, so reporting
   * it as not run would be false; the caller is told to retry.
   */
  async #loadAnswer(row: ClaimRow | undefined): Promise<ClaimOutcome> {
    try {
      const answer = row && (await this.#answers.load(row));
      return answer ? { kind: 'finished', answer } : { kind: 'outcomeUnknown' };
    } catch (error) {
      this.#options.logger.warn({ err: getErrorMessage(error) }, 'failed to load a stored answer');
      return { kind: 'inProgress', retryAfterMs: this.#settings.retryAfterMs };
    }
  }

  async #waitForChange(pending: PendingClaim, giveUpAtMs: number): Promise<void> {
    await waitUntil(pending.change, giveUpAtMs);
    if (Date.now() >= giveUpAtMs) {
      throw this.#createUnavailable('an earlier claim of this key is still pending');
    }
  }

  /** Stops tracking the claim in memory; the table is authoritative from here on. */
  #forget(pending: PendingClaim): void {
    this.#pending.delete(pending.rowKey);
    pending.enter('forgotten');
  }

  #getHeld(claim: Claim): PendingClaim {
    const pending = this.#pending.get(claim.rowKey);
    const isHeld = pending?.token === claim.token && pending.state === 'held';
    invariant(isHeld, 'atMostOnce', `outcome of ${claim.rowKey}, which is not held`);
    if (!pending || !isHeld) {
      throw new AnswerNotKeptError(`claim ${claim.rowKey} is not held by this daemon`);
    }
    return pending;
  }

  async #track<Result>(write: Promise<Result>): Promise<Result> {
    this.#writes.add(write);
    try {
      return await write;
    } finally {
      this.#writes.delete(write);
    }
  }

  #createToken(): string {
    this.#tokenCount += 1;
    const random = this.#options.random.nextInt(TOKEN_RANDOM_LIMIT).toString(TOKEN_RADIX);
    return `${this.#options.incarnation}:${this.#tokenCount}:${random}`;
  }

  #createUnavailable(message: string, cause?: unknown): ClaimsUnavailableError {
    const hint = cause instanceof NotSentError ? cause.retryAfterMs : 0;
    const retryAfterMs = Math.max(hint, this.#settings.retryAfterMs);
    return new ClaimsUnavailableError(message, retryAfterMs, { cause });
  }

  #record(type: 'claimTaken' | 'claimFinished', pending: PendingClaim): void {
    this.#options.timeline.record(type, {}, { rowKey: pending.rowKey });
  }
}

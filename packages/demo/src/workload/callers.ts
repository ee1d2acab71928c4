/** Callers that send conversations through the balancer, and retry as they are told. */
import { createRandom, pickRandom, type Random } from '@snipehaven/common';
import type { RunningDaemon } from '../deployment.js';
import { getFinalEnd, type AttemptEnd, type CallAttempt, type CallRecord } from './callRecord.js';
import { sendAttempt } from './sendAttempt.js';
import type { WorkItem } from './workItems.js';

export interface CallersOptions {
  readonly seed: number;
  /** The daemons that the balancer holds ready and may give the request to. */
  readonly listTargets: (item: WorkItem) => readonly RunningDaemon[];
  readonly parallel: number;
  readonly maxAttempts: number;
  readonly attemptTimeoutMs: number;
  /** Called after each attempt that was sent. */
  readonly onAttempt?: (item: WorkItem, attempt: CallAttempt) => void;
  /** Called after each request, with the count so far. */
  readonly onDone?: (count: number) => void;
  /** Mean pause of a caller between requests. */
  readonly pauseMs?: number;
}

const MAX_RETRY_WAIT_MS = 2_000;
const BROKEN_RETRY_MS = 150;
/** How often a caller submits a finished non-idempotent request once more, as people do. */
const RESUBMIT_SHARE = 0.2;

const finalCodes: ReadonlySet<string> = new Set([
  'outcomeUnknown',
  'differentBody',
  'forbidden',
  'unauthorized',
  'invalidRequest',
  'unknownModel',
  'unknownPath',
]);

const wait = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

const getRetryDelayMs = (end: AttemptEnd): number | undefined => {
  if (end.kind === 'answered') {
    return undefined;
  }
  if (end.kind === 'broken') {
    return BROKEN_RETRY_MS;
  }
  return finalCodes.has(end.code) ? undefined : Math.min(MAX_RETRY_WAIT_MS, end.retryAfterMs);
};

export class Callers {
  readonly #options: CallersOptions;

  readonly #random: Random;

  readonly #records: CallRecord[] = [];

  constructor(options: CallersOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
  }

  get records(): readonly CallRecord[] {
    return this.#records;
  }

  /** Sends all conversations, some side by side; resolves when all have ended. */
  async run(conversations: Iterable<readonly WorkItem[]>): Promise<readonly CallRecord[]> {
    const queue = conversations[Symbol.iterator]();
    const work = async (): Promise<void> => {
      for (let next = queue.next(); next.done !== true; next = queue.next()) {
        await this.#converse(next.value);
      }
    };
    await Promise.all(Array.from({ length: this.#options.parallel }, work));
    return this.#records;
  }

  async #converse(items: readonly WorkItem[]): Promise<void> {
    let sessionToken: string | undefined;
    for (const item of items) {
      const record = await this.#call(item, sessionToken);
      const end = getFinalEnd(record);
      if (end?.kind === 'answered' && item.session && !item.hasOwnSessionId) {
        sessionToken = end.answer.sessionToken ?? sessionToken;
      }
      this.#records.push(record);
      this.#options.onDone?.(this.#records.length);
      await wait(this.#random.next() * 2 * (this.#options.pauseMs ?? 0));
    }
  }

  async #call(item: WorkItem, sessionToken: string | undefined): Promise<CallRecord> {
    const attempts = await this.#submit(item, sessionToken);
    const isAnswered = attempts.at(-1)?.end.kind === 'answered';
    const isResubmitted = isAnswered && !item.isIdempotent && this.#random.next() < RESUBMIT_SHARE;
    const further = isResubmitted ? await this.#submit(item, sessionToken) : [];
    return { item, attempts: [...attempts, ...further] };
  }

  /** Tries until the request has ended, or too often. */
  async #submit(item: WorkItem, sessionToken: string | undefined): Promise<readonly CallAttempt[]> {
    const attempts: CallAttempt[] = [];
    while (attempts.length < this.#options.maxAttempts) {
      const attempt = await this.#attempt(item, sessionToken);
      attempts.push(attempt);
      const delayMs = getRetryDelayMs(attempt.end);
      if (delayMs === undefined) {
        break;
      }
      await wait(delayMs);
    }
    return attempts;
  }

  async #attempt(item: WorkItem, sessionToken: string | undefined): Promise<CallAttempt> {
    const startedAtMs = Date.now();
    const daemon = pickRandom(this.#options.listTargets(item), this.#random);
    if (daemon === undefined) {
      const end: AttemptEnd = { kind: 'broken', reason: 'the balancer has no daemon' };
      return { vm: '', startedAtMs, endedAtMs: startedAtMs, end };
    }
    const timeoutMs = this.#options.attemptTimeoutMs;
    const end = await sendAttempt({ item, daemon, sessionToken, timeoutMs });
    const attempt = { vm: daemon.vm.name, startedAtMs, endedAtMs: Date.now(), end };
    this.#options.onAttempt?.(item, attempt);
    return attempt;
  }
}

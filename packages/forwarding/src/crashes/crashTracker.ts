/**
 * Tracks upstreams that crashed and the requests running on them, as observed by this daemon or
 * reported by others. Decides which requests are held back, and reports to the other daemons.
 */
import { forgetOldest, type Logger, type Random, type RequestDigest } from '@snipehaven/common';
import {
  CrashCounter,
  HOLD_MS,
  judgeSuspicion,
  type CrashReport,
  type Suspect,
} from '@snipehaven/policy';
import { EMPTY_CRASH_MESSAGE, type CrashMessage } from '../peers/index.js';
import type { InFlightRequest, UpstreamExit } from '../upstreams/index.js';
import { AnsweredRequests } from './answeredRequests.js';
import { CLEARED_DELAY_MS, MAX_ENDED_LIVES, MAX_HELD, MAX_OBJECTION_MS } from './constants.js';
import type { Hold } from './types.js';

export interface CrashTrackerOptions {
  readonly logger: Logger;
  readonly random: Random;
  /** Sends the report to all other daemons. */
  broadcast(report: CrashMessage): void;
}

/**
 * The origin of a change: observed by this daemon, reported by another one, or read from the store.
 */
export type CrashSource = 'own' | 'peer' | 'store';

export interface CrashListener {
  /** Called once per incarnation of an upstream when its crash is first observed or reported. */
  onEnded(lifeId: string): void;
  /** Called when a request is held back from now on. */
  onHeld(hold: Hold, source: CrashSource): void;
  /** Called when the request may be sent again. */
  onReleased(digest: RequestDigest, source: CrashSource): void;
}

type ReleaseCause = 'answered' | 'lapsed' | 'removed' | 'tooMany' | 'upstreamsLive';

export class CrashTracker {
  readonly #options: CrashTrackerOptions;

  readonly #counter = new CrashCounter();

  readonly #holds = new Map<RequestDigest, Hold>();

  readonly #answered = new AnsweredRequests();

  readonly #cleared = new Set<RequestDigest>();

  readonly #listeners: Partial<CrashListener>[] = [];

  /** Newest last. */
  readonly #endedLives = new Set<string>();

  constructor(options: CrashTrackerOptions) {
    this.#options = options;
  }

  /** Whether no request is under suspicion, so that callers need not compute digests. */
  get isEmpty(): boolean {
    return this.#counter.size === 0 && this.#holds.size === 0;
  }

  get heldCount(): number {
    const nowMs = performance.now();
    return [...this.#holds.values()].filter(({ untilMs }) => untilMs > nowMs).length;
  }

  addListener(listener: Partial<CrashListener>): void {
    this.#listeners.push(listener);
  }

  /** Undefined if the request may be sent. */
  findHold(digest: RequestDigest): Hold | undefined {
    const hold = this.#holds.get(digest);
    if (hold !== undefined && hold.untilMs <= performance.now()) {
      // Reported as 'peer', because the daemon that wrote the row removes it, not each one that
      // finds it expired.
      this.#release(digest, 'lapsed', 'peer');
      return undefined;
    }
    return hold;
  }

  /**
   * The weight of the suspicion against the request: 1 for each upstream that crashed while running
   * it.
   */
  getWeight(digest: RequestDigest): number {
    return this.#counter.getWeight(digest);
  }

  /** Records the exit of an upstream that was running requests of this daemon. */
  recordExit(end: UpstreamExit): void {
    const nowMs = performance.now();
    const suspects = end.lost
      .filter(({ digest }) => !this.#answered.has(digest, nowMs))
      .map((one) => this.#toSuspect(one, end, nowMs));
    const report = { lifeId: end.lifeId, suspects };
    this.#options.broadcast({ ...EMPTY_CRASH_MESSAGE, ends: [report] });
    this.#recordEnd(report, 'own');
  }

  receiveReport({ ends, cleared, alive }: CrashMessage): void {
    ends.forEach((report) => this.#recordEnd(report, 'peer'));
    cleared.forEach((digest) => this.#clear(digest, 'peer'));
    alive.forEach((lifeId) => this.#withdraw(lifeId, 'peer'));
  }

  /** Records that an upstream answered the request completely. */
  recordSuccess(digest: RequestDigest): void {
    this.#answered.note(digest, performance.now());
    if (this.#clear(digest, 'own')) {
      this.#scheduleClearedReport(digest);
    }
  }

  /** Records that an upstream that was considered crashed has run a request since. */
  noteAlive(lifeId: string): void {
    this.#options.logger.info(
      { event: 'upstreamNotEnded', life: lifeId },
      'upstream reported as ended is alive',
    );
    this.#withdraw(lifeId, 'own');
    this.#options.broadcast({ ...EMPTY_CRASH_MESSAGE, alive: [lifeId] });
  }

  /** Applies a hold that was read from the store. */
  applyStoredHold(hold: Hold): void {
    if (!this.#holds.has(hold.digest)) {
      this.#addHold(hold, 'store');
    }
  }

  /** Applies the removal of a row from the store. */
  applyStoredRelease(digest: RequestDigest): void {
    this.#counter.clear(digest);
    if (this.#holds.has(digest)) {
      this.#release(digest, 'removed', 'store');
    }
  }

  #toSuspect(
    { digest, attemptId, beganAtMs }: InFlightRequest,
    { isExpected }: UpstreamExit,
    nowMs: number,
  ): Suspect {
    const answeredForMs = beganAtMs === undefined ? undefined : nowMs - beganAtMs;
    const suspicion = judgeSuspicion({ answeredForMs, isEndExpected: isExpected });
    return { digest, attemptId, suspicion };
  }

  #recordEnd(report: CrashReport, source: CrashSource): void {
    const nowMs = performance.now();
    this.#recordEndedLife(report.lifeId);
    const heldDigests = this.#counter.recordReport(report, nowMs);
    heldDigests.forEach((digest) => this.#hold(digest, source, nowMs));
  }

  #recordEndedLife(lifeId: string): void {
    if (this.#endedLives.has(lifeId)) {
      return;
    }
    this.#endedLives.add(lifeId);
    forgetOldest(this.#endedLives, MAX_ENDED_LIVES);
    this.#listeners.forEach((listener) => listener.onEnded?.(lifeId));
  }

  /** Also releases requests that were held back because of that incarnation's crash. */
  #withdraw(lifeId: string, source: CrashSource): void {
    this.#counter.withdraw(lifeId);
    for (const { digest, lives } of this.#holds.values()) {
      if (lives.includes(lifeId) && !this.#counter.hasReachedThreshold(digest)) {
        this.#release(digest, 'upstreamsLive', source);
      }
    }
  }

  #hold(digest: RequestDigest, source: CrashSource, nowMs: number): void {
    if (this.findHold(digest) === undefined) {
      const lives = this.#counter.listCrashedIncarnations(digest);
      this.#addHold({ digest, lives, sinceMs: nowMs, untilMs: nowMs + HOLD_MS }, source);
    }
  }

  #addHold(hold: Hold, source: CrashSource): void {
    const { digest, lives, untilMs } = hold;
    this.#holds.set(digest, hold);
    const forMs = Math.round(untilMs - performance.now());
    this.#options.logger.warn(
      { event: 'requestHeld', digest, lives, source, forMs },
      'request held back: several upstreams ended while running it',
    );
    if (this.#holds.size > MAX_HELD) {
      const [oldest = digest] = this.#holds.keys();
      this.#release(oldest, 'tooMany', 'peer');
    }
    this.#listeners.forEach((listener) => listener.onHeld?.(hold, source));
    if (this.#answered.has(digest, performance.now())) {
      const waitMs = this.#options.random.next() * MAX_OBJECTION_MS;
      setTimeout(() => this.#objectToHold(hold), waitMs).unref();
    }
  }

  /**
   * Clears a held request that this daemon knows to have been answered, unless it was released
   * meanwhile.
   */
  #objectToHold(hold: Hold): void {
    const { digest } = hold;
    if (this.#holds.get(digest) === hold && this.#clear(digest, 'own')) {
      this.#scheduleClearedReport(digest);
    }
  }

  /** Returns false if nothing was known about the request. */
  #clear(digest: RequestDigest, source: CrashSource): boolean {
    const isKnown = this.#counter.clear(digest);
    const isHeld = this.#holds.has(digest);
    if (isHeld) {
      this.#release(digest, 'answered', source);
    }
    return isKnown || isHeld;
  }

  #release(digest: RequestDigest, cause: ReleaseCause, source: CrashSource): void {
    this.#holds.delete(digest);
    this.#counter.clear(digest);
    this.#options.logger.info(
      { event: 'requestReleased', digest, cause, source },
      'request no longer held back',
    );
    this.#listeners.forEach((listener) => listener.onReleased?.(digest, source));
  }

  #scheduleClearedReport(digest: RequestDigest): void {
    if (this.#cleared.size === 0) {
      setTimeout(() => this.#sendClearedReport(), CLEARED_DELAY_MS).unref();
    }
    this.#cleared.add(digest);
  }

  #sendClearedReport(): void {
    const cleared = [...this.#cleared];
    this.#cleared.clear();
    this.#options.broadcast({ ...EMPTY_CRASH_MESSAGE, cleared });
  }
}

/**
 * What this daemon knows of upstreams that ended and of the requests on them, its own knowledge and the
 * others': which requests are held back, and what is told of it.
 */
import { forgetOldest, type Logger, type Random, type RequestDigest } from '@snipehaven/common';
import {
  CrashLedger,
  HOLD_MS,
  judgeSuspicion,
  type EndReport,
  type Suspect,
} from '@snipehaven/policy';
import { EMPTY_CRASH_REPORT, type CrashReport } from '../peers/index.js';
import type { SentRequest, UpstreamEnd } from '../upstreams/index.js';
import { AnsweredRequests } from './answeredRequests.js';
import { CLEARED_DELAY_MS, MAX_ENDED_LIVES, MAX_HELD, MAX_OBJECTION_MS } from './constants.js';
import type { Hold } from './types.js';

export interface CrashBookOptions {
  readonly logger: Logger;
  readonly random: Random;
  /** Tells all other daemons. */
  tell(news: CrashReport): void;
}

/** Who says so: this daemon saw it, another one told it, or the store has a row of it. */
export type CrashSource = 'own' | 'peer' | 'store';

export interface CrashListener {
  /** A life of an upstream ended, as this daemon saw or hears for the first time. */
  onEnded(lifeId: string): void;
  /** The request is held back from now on. */
  onHeld(hold: Hold, source: CrashSource): void;
  /** It may be sent again. */
  onReleased(digest: RequestDigest, source: CrashSource): void;
}

type ReleaseCause = 'answered' | 'lapsed' | 'removed' | 'tooMany' | 'upstreamsLive';

export class CrashBook {
  readonly #options: CrashBookOptions;

  readonly #ledger = new CrashLedger();

  readonly #holds = new Map<RequestDigest, Hold>();

  readonly #answered = new AnsweredRequests();

  readonly #cleared = new Set<RequestDigest>();

  readonly #listeners: Partial<CrashListener>[] = [];

  /** Lives that ended, the newest last. */
  readonly #endedLives = new Set<string>();

  constructor(options: CrashBookOptions) {
    this.#options = options;
  }

  /** Nothing is known of any request: there is no need to work out digests. */
  get isEmpty(): boolean {
    return this.#ledger.size === 0 && this.#holds.size === 0;
  }

  /** Requests held back. */
  get heldCount(): number {
    const nowMs = performance.now();
    return [...this.#holds.values()].filter(({ untilMs }) => untilMs > nowMs).length;
  }

  watch(listener: Partial<CrashListener>): void {
    this.#listeners.push(listener);
  }

  /** Undefined when the request may be sent. */
  findHold(digest: RequestDigest): Hold | undefined {
    const hold = this.#holds.get(digest);
    if (hold !== undefined && hold.untilMs <= performance.now()) {
      // Nobody's own word: the daemon that wrote the row removes it, not each that finds it lapsed.
      this.#release(digest, 'lapsed', 'peer');
      return undefined;
    }
    return hold;
  }

  /** How much speaks against the request: 1 for each upstream that ended under it. */
  getWeight(digest: RequestDigest): number {
    return this.#ledger.getWeight(digest);
  }

  /** An upstream ended with requests of this daemon. */
  noteEnd(end: UpstreamEnd): void {
    const nowMs = performance.now();
    const suspects = end.lost
      .filter(({ digest }) => !this.#answered.has(digest, nowMs))
      .map((one) => this.#suspect(one, end, nowMs));
    const report = { lifeId: end.lifeId, suspects };
    this.#options.tell({ ...EMPTY_CRASH_REPORT, ends: [report] });
    this.#takeEnd(report, 'own');
  }

  takeNews({ ends, cleared, alive }: CrashReport): void {
    ends.forEach((report) => this.#takeEnd(report, 'peer'));
    cleared.forEach((digest) => this.#clear(digest, 'peer'));
    alive.forEach((lifeId) => this.#withdraw(lifeId, 'peer'));
  }

  /** An upstream ran the request to a good end. */
  noteAnswered(digest: RequestDigest): void {
    this.#answered.note(digest, performance.now());
    if (this.#clear(digest, 'own')) {
      this.#tellLater(digest);
    }
  }

  /** An upstream that was taken for ended has run a request since. */
  noteAlive(lifeId: string): void {
    this.#options.logger.info({ event: 'upstreamNotEnded', life: lifeId }, 'an upstream lives');
    this.#withdraw(lifeId, 'own');
    this.#options.tell({ ...EMPTY_CRASH_REPORT, alive: [lifeId] });
  }

  /** The store says that the request is held back. */
  takeHold(hold: Hold): void {
    if (!this.#holds.has(hold.digest)) {
      this.#putHold(hold, 'store');
    }
  }

  /** The store's row was removed. */
  takeRelease(digest: RequestDigest): void {
    this.#ledger.clear(digest);
    if (this.#holds.has(digest)) {
      this.#release(digest, 'removed', 'store');
    }
  }

  #suspect(
    { digest, attemptId, beganAtMs }: SentRequest,
    { isExpected }: UpstreamEnd,
    nowMs: number,
  ): Suspect {
    const answeredForMs = beganAtMs === undefined ? undefined : nowMs - beganAtMs;
    const suspicion = judgeSuspicion({ answeredForMs, isEndExpected: isExpected });
    return { digest, attemptId, suspicion };
  }

  #takeEnd(report: EndReport, source: CrashSource): void {
    const nowMs = performance.now();
    this.#noteLife(report.lifeId);
    const reached = this.#ledger.note(report, nowMs);
    reached.forEach((digest) => this.#hold(digest, source, nowMs));
  }

  #noteLife(lifeId: string): void {
    if (this.#endedLives.has(lifeId)) {
      return;
    }
    this.#endedLives.add(lifeId);
    forgetOldest(this.#endedLives, MAX_ENDED_LIVES);
    this.#listeners.forEach((listener) => listener.onEnded?.(lifeId));
  }

  /** Requests that were held back because of its end, too, are let go. */
  #withdraw(lifeId: string, source: CrashSource): void {
    this.#ledger.withdraw(lifeId);
    for (const { digest, lives } of this.#holds.values()) {
      if (lives.includes(lifeId) && !this.#ledger.isGuilty(digest)) {
        this.#release(digest, 'upstreamsLive', source);
      }
    }
  }

  #hold(digest: RequestDigest, source: CrashSource, nowMs: number): void {
    if (this.findHold(digest) === undefined) {
      const lives = this.#ledger.listLives(digest);
      this.#putHold({ digest, lives, sinceMs: nowMs, untilMs: nowMs + HOLD_MS }, source);
    }
  }

  #putHold(hold: Hold, source: CrashSource): void {
    const { digest, lives, untilMs } = hold;
    this.#holds.set(digest, hold);
    const forMs = Math.round(untilMs - performance.now());
    this.#options.logger.warn(
      { event: 'requestHeld', digest, lives, source, forMs },
      'upstreams ended under a request; it is held back',
    );
    if (this.#holds.size > MAX_HELD) {
      const [oldest = digest] = this.#holds.keys();
      this.#release(oldest, 'tooMany', 'peer');
    }
    this.#listeners.forEach((listener) => listener.onHeld?.(hold, source));
    if (this.#answered.has(digest, performance.now())) {
      const waitMs = this.#options.random.next() * MAX_OBJECTION_MS;
      setTimeout(() => this.#object(hold), waitMs).unref();
    }
  }

  /** This daemon saw the request answered, and nobody has said so since it was held back. */
  #object(hold: Hold): void {
    const { digest } = hold;
    if (this.#holds.get(digest) === hold && this.#clear(digest, 'own')) {
      this.#tellLater(digest);
    }
  }

  /** False when nothing was known of the request. */
  #clear(digest: RequestDigest, source: CrashSource): boolean {
    const isKnown = this.#ledger.clear(digest);
    const isHeld = this.#holds.has(digest);
    if (isHeld) {
      this.#release(digest, 'answered', source);
    }
    return isKnown || isHeld;
  }

  #release(digest: RequestDigest, cause: ReleaseCause, source: CrashSource): void {
    this.#holds.delete(digest);
    this.#ledger.clear(digest);
    this.#options.logger.info(
      { event: 'requestReleased', digest, cause, source },
      'a request is held back no more',
    );
    this.#listeners.forEach((listener) => listener.onReleased?.(digest, source));
  }

  #tellLater(digest: RequestDigest): void {
    if (this.#cleared.size === 0) {
      setTimeout(() => this.#tellCleared(), CLEARED_DELAY_MS).unref();
    }
    this.#cleared.add(digest);
  }

  #tellCleared(): void {
    const cleared = [...this.#cleared];
    this.#cleared.clear();
    this.#options.tell({ ...EMPTY_CRASH_REPORT, cleared });
  }
}

/**
 * What this daemon knows of upstreams that ended and of the requests on them, its own knowledge and the
 * others': which requests are held back, and what is told of it.
 */
import type { Logger, RequestDigest } from '@snipehaven/common';
import {
  CrashLedger,
  HOLD_WEIGHT,
  judgeSuspicion,
  type EndReport,
  type Suspect,
} from '@snipehaven/policy';
import { NO_CRASH_NEWS, type CrashNews } from '../peers/index.js';
import type { SentRequest, UpstreamEnd } from '../upstreams/index.js';
import { CLEARED_DELAY_MS, HOLD_MS, MAX_HELD } from './constants.js';
import type { Hold } from './types.js';

export interface CrashBookOptions {
  readonly logger: Logger;
  /** Tells all other daemons. */
  tell(news: CrashNews): void;
}

/** Who saw an upstream end, or a request answered. */
type Source = 'own' | 'peer';

export class CrashBook {
  readonly #options: CrashBookOptions;

  readonly #ledger = new CrashLedger();

  readonly #holds = new Map<RequestDigest, Hold>();

  readonly #cleared = new Set<RequestDigest>();

  #onHeld: (digest: RequestDigest) => void = () => {};

  constructor(options: CrashBookOptions) {
    this.#options = options;
  }

  /** Nothing is known of any request: there is no need to work out digests. */
  get isEmpty(): boolean {
    return this.#ledger.size === 0 && this.#holds.size === 0;
  }

  /** Requests held back. */
  get heldCount(): number {
    return this.#holds.size;
  }

  /** Calls back when a request is held back from now on. */
  onHeld(listener: (digest: RequestDigest) => void): void {
    this.#onHeld = listener;
  }

  /** Undefined when the request may be sent. */
  findHold(digest: RequestDigest): Hold | undefined {
    const hold = this.#holds.get(digest);
    if (hold !== undefined && hold.untilMs <= performance.now()) {
      this.#release(digest, 'lapsed');
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
    const suspects = end.lost.map((one) => this.#suspect(one, end, nowMs));
    const report = { lifeId: end.lifeId, suspects };
    this.#options.tell({ ...NO_CRASH_NEWS, ends: [report] });
    this.#takeEnd(report, 'own');
  }

  takeNews({ ends, cleared, alive }: CrashNews): void {
    ends.forEach((report) => this.#takeEnd(report, 'peer'));
    cleared.forEach((digest) => this.#clear(digest));
    alive.forEach((lifeId) => this.#withdraw(lifeId));
  }

  /** An upstream answered the request in whole and lives. */
  noteAnswered(digest: RequestDigest): void {
    if (!this.#clear(digest)) {
      return;
    }
    if (this.#cleared.size === 0) {
      setTimeout(() => this.#tellCleared(), CLEARED_DELAY_MS).unref();
    }
    this.#cleared.add(digest);
  }

  /** An upstream that was taken for ended has run a request since. */
  noteAlive(lifeId: string): void {
    this.#options.logger.info({ event: 'upstreamNotEnded', life: lifeId }, 'an upstream lives');
    this.#withdraw(lifeId);
    this.#options.tell({ ...NO_CRASH_NEWS, alive: [lifeId] });
  }

  #suspect(
    { digest, beganAtMs }: SentRequest,
    { isExpected }: UpstreamEnd,
    nowMs: number,
  ): Suspect {
    const answeredForMs = beganAtMs === undefined ? undefined : nowMs - beganAtMs;
    const suspicion = judgeSuspicion({ answeredForMs, isEndExpected: isExpected });
    return { digest, suspicion };
  }

  #takeEnd(report: EndReport, source: Source): void {
    const nowMs = performance.now();
    const reached = this.#ledger.note(report, nowMs);
    reached.forEach((digest) => this.#hold(digest, source, nowMs));
  }

  /** Requests that were held back because of its end, too, are let go. */
  #withdraw(lifeId: string): void {
    this.#ledger.withdraw(lifeId);
    for (const { digest, lives } of this.#holds.values()) {
      if (lives.includes(lifeId) && this.#ledger.getWeight(digest) < HOLD_WEIGHT) {
        this.#release(digest, 'upstreamsLive');
      }
    }
  }

  #hold(digest: RequestDigest, source: Source, nowMs: number): void {
    if (this.#holds.has(digest)) {
      return;
    }
    const lives = this.#ledger.listLives(digest);
    this.#holds.set(digest, { digest, lives, sinceMs: nowMs, untilMs: nowMs + HOLD_MS });
    this.#options.logger.warn(
      { event: 'requestHeld', digest, lives, source, forMs: HOLD_MS },
      'upstreams ended under a request; it is held back',
    );
    if (this.#holds.size > MAX_HELD) {
      const [oldest = digest] = this.#holds.keys();
      this.#release(oldest, 'tooMany');
    }
    this.#onHeld(digest);
  }

  /** False when nothing was known of the request. */
  #clear(digest: RequestDigest): boolean {
    const isKnown = this.#ledger.clear(digest);
    if (this.#holds.has(digest)) {
      this.#release(digest, 'answered');
    }
    return isKnown;
  }

  #release(digest: RequestDigest, cause: string): void {
    this.#holds.delete(digest);
    this.#ledger.clear(digest);
    this.#options.logger.info(
      { event: 'requestReleased', digest, cause },
      'a request is held back no more',
    );
  }

  #tellCleared(): void {
    const cleared = [...this.#cleared];
    this.#cleared.clear();
    this.#options.tell({ ...NO_CRASH_NEWS, cleared });
  }
}

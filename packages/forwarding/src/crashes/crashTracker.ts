/**
 * Tracks upstreams that crashed and the requests running on them, as observed by this daemon or
 * reported by others. Decides which requests are held back, and reports to the other daemons.
 *
 * Suspects are requests as a whole and the parts of prompts that requests share: where no two
 * requests are alike, only the part is under more than a few crashes.
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
import {
  CLEARED_DELAY_MS,
  COMMON_PART_HOLD_THRESHOLD,
  MAX_ENDED_LIVES,
  MAX_HELD,
  MAX_OBJECTION_MS,
} from './constants.js';
import { PartSightings } from './partSightings.js';
import { isPartDigest } from './requestDigest.js';
import type { Hold, MainSuspect } from './types.js';

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

/** Bounds the length of a log line. */
const MAX_LOGGED_SUSPECTS = 40;

type ReleaseCause = 'answered' | 'explained' | 'lapsed' | 'removed' | 'tooMany' | 'upstreamsLive';

export class CrashTracker {
  readonly #options: CrashTrackerOptions;

  readonly #counter = new CrashCounter();

  readonly #holds = new Map<RequestDigest, Hold>();

  readonly #answered = new AnsweredRequests();

  readonly #sightings = new PartSightings();

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

  /** The first hold on any of the suspects; undefined if a request with them may be sent. */
  findFirstHold(suspects: readonly RequestDigest[]): Hold | undefined {
    return suspects.map((digest) => this.findHold(digest)).find((hold) => hold !== undefined);
  }

  /** The suspect with the most crashes; undefined if none is under any. */
  findMainSuspect(suspects: readonly RequestDigest[]): MainSuspect | undefined {
    const weighed = suspects
      .map((digest) => ({ digest, weight: this.#counter.getWeight(digest) }))
      .filter(({ digest, weight }) => weight > 0 && !this.#sightings.isCommon(digest));
    // Of equal weights a part comes first: all requests with it then go to one upstream.
    return weighed.reduce<MainSuspect | undefined>(
      (most, one) => (one.weight >= (most?.weight ?? 0) ? one : most),
      undefined,
    );
  }

  /** Called for each request, with the parts of its prompt that others may share. */
  noteRequest(parts: readonly RequestDigest[]): void {
    this.#sightings.note(parts, performance.now());
  }

  /** Records the exit of an upstream that was running requests of this daemon. */
  recordExit(end: UpstreamExit): void {
    const nowMs = performance.now();
    const all = end.lost.flatMap((one) => this.#toSuspects(one, end, nowMs));
    const suspects = all.filter(({ digest }) => !this.#answered.has(digest, nowMs));
    this.#logExcused(
      end.lifeId,
      all.filter((one) => !suspects.includes(one)),
    );
    const report = { lifeId: end.lifeId, suspects };
    this.#options.broadcast({ ...EMPTY_CRASH_MESSAGE, ends: [report] });
    this.#recordEnd(report, 'own');
  }

  receiveReport({ ends, cleared, alive }: CrashMessage): void {
    ends.forEach((report) => this.#recordEnd(report, 'peer'));
    cleared.forEach((digest) => this.#clear(digest, 'peer'));
    alive.forEach((lifeId) => this.#withdraw(lifeId, 'peer'));
  }

  /** Records that an upstream survived a request of these suspects. */
  recordSuccess(suspects: readonly RequestDigest[]): void {
    const nowMs = performance.now();
    suspects.forEach((digest) => {
      this.#answered.note(digest, nowMs);
      if (this.#clear(digest, 'own')) {
        this.#scheduleClearedReport(digest);
      }
    });
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

  #toSuspects(
    { digest, partDigests, attemptId, beganAtMs }: InFlightRequest,
    { isExpected }: UpstreamExit,
    nowMs: number,
  ): readonly Suspect[] {
    const answeredForMs = beganAtMs === undefined ? undefined : nowMs - beganAtMs;
    const suspicion = judgeSuspicion({ answeredForMs, isEndExpected: isExpected });
    return [digest, ...partDigests].map((one) => ({ digest: one, attemptId, suspicion }));
  }

  #recordEnd(report: CrashReport, source: CrashSource): void {
    const nowMs = performance.now();
    this.#recordEndedLife(report.lifeId);
    const culprit = report.suspects.find(
      ({ digest }) => isPartDigest(digest) && this.findHold(digest) !== undefined,
    );
    if (culprit !== undefined) {
      this.#counter.explain([report.lifeId], culprit.digest);
    }
    const suspected = this.#counter.recordReport(report, nowMs);
    // One after the other: a hold explains crashes that were counted for other suspects too.
    for (const digest of this.#sortBySpecificity(suspected)) {
      if (this.#mustHold(digest)) {
        this.#hold(digest, source, nowMs);
      }
    }
  }

  #mustHold(digest: RequestDigest): boolean {
    const isCertain =
      !this.#sightings.isCommon(digest) ||
      this.#counter.getWeight(digest) >= COMMON_PART_HOLD_THRESHOLD;
    return isCertain && this.#counter.hasReachedThreshold(digest);
  }

  /**
   * Parts that few requests have come first, then other parts, then single requests: a request that
   * ran beside a crashing part on several upstreams is as suspect as the part.
   */
  #sortBySpecificity(suspects: readonly RequestDigest[]): readonly RequestDigest[] {
    const parts = suspects.filter((digest) => isPartDigest(digest));
    const requests = suspects.filter((digest) => !isPartDigest(digest));
    const getCount = (part: RequestDigest): number => this.#sightings.getCount(part);
    return [...parts.sort((a, b) => getCount(a) - getCount(b)), ...requests];
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
    if (isPartDigest(digest)) {
      this.#counter.explain(lives, digest);
      this.#releaseExplained(source);
    }
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

  /** Releases requests that ran beside a part which is held now, and have no other crashes. */
  #releaseExplained(source: CrashSource): void {
    for (const { digest } of this.#holds.values()) {
      if (this.#counter.isExplained(digest)) {
        this.#release(digest, 'explained', source);
      }
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

  #logExcused(lifeId: string, suspects: readonly Suspect[]): void {
    const digests = [...new Set(suspects.map(({ digest }) => digest))];
    if (digests.length > 0) {
      this.#options.logger.info(
        { event: 'suspectsExcused', life: lifeId, digests: digests.slice(0, MAX_LOGGED_SUSPECTS) },
        'not blamed for the end of an upstream, as other upstreams have answered lately',
      );
    }
  }

  /** Returns false if nothing was known about the request. */
  #clear(digest: RequestDigest, source: CrashSource): boolean {
    const lives = this.#counter.listCrashedIncarnations(digest);
    if (lives.length > 0) {
      this.#options.logger.info(
        { event: 'suspectCleared', digest, lives, source },
        'no longer suspected, as an upstream has answered',
      );
    }
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

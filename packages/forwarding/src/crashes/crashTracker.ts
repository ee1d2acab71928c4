/**
 * Tracks upstreams that crashed and the requests running on them, as observed by this daemon or
 * reported by others. Decides which requests are held back, and reports to the other daemons.
 *
 * Suspects are requests as a whole and the parts of prompts that requests share: where no two
 * requests are alike, only the part is under more than a few crashes.
 */
import { forgetOldest, type Logger, type Random, type RequestDigest } from '@snipehaven/common';
import {
  ANSWERED_HOLD_THRESHOLD,
  CrashCounter,
  HOLD_MS,
  HOLD_THRESHOLD,
  judgeSuspicion,
  PartPresence,
  type CrashReport,
  type Suspect,
} from '@snipehaven/policy';
import { EMPTY_CRASH_MESSAGE, type CrashMessage } from '../peers/index.js';
import type { InFlightRequest, UpstreamExit } from '../upstreams/index.js';
import { AnsweredRequests } from './answeredRequests.js';
import {
  ANSWERED_COMMON_PART_HOLD_THRESHOLD,
  ANSWERED_DELAY_MS,
  ANSWERED_HOLD_DELAY_MS,
  ANSWERED_TOLD_MS,
  DOUBTFUL_PART_HOLD_THRESHOLD,
  MAX_ANSWERED,
  MAX_ENDED_LIVES,
  MAX_HELD,
  MAX_OBJECTION_MS,
  MIN_PART_ATTEMPTS,
} from './constants.js';
import { PartSightings } from './partSightings.js';
import { isPartDigest } from './requestDigest.js';
import type { CompleteAnswer, Hold, MainSuspect } from './types.js';

export interface CrashTrackerOptions {
  readonly logger: Logger;
  readonly random: Random;
  /** This daemon's requests in flight, on all upstreams. */
  listInFlight(): readonly InFlightRequest[];
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

type ReleaseCause = 'answered' | 'explained' | 'lapsed' | 'removed' | 'tooMany' | 'upstreamsLive';

/** After these a suspect is held by new crashes only. */
const causesThatForget: readonly ReleaseCause[] = ['lapsed', 'removed', 'tooMany', 'upstreamsLive'];

/** Crashes, one after the other, from which what was answered lately goes its own way. */
const MIN_SUCCESSIVE_CRASHES = 2;

const countParts = (requests: readonly InFlightRequest[]): ReadonlyMap<RequestDigest, number> => {
  const counts = new Map<RequestDigest, number>();
  requests
    .flatMap(({ partDigests }) => partDigests)
    .forEach((part) => counts.set(part, (counts.get(part) ?? 0) + 1));
  return counts;
};

export class CrashTracker {
  readonly #options: CrashTrackerOptions;

  readonly #counter = new CrashCounter((digest) => this.#isCommon(digest));

  readonly #presence = new PartPresence();

  readonly #holds = new Map<RequestDigest, Hold>();

  readonly #answered = new AnsweredRequests();

  readonly #sightings = new PartSightings();

  /** Answers that are to be told to the other daemons. */
  readonly #untold = new Set<RequestDigest>();

  /** When any daemon last told the others of an answer, as far as known here. */
  readonly #toldAtMs = new Map<RequestDigest, number>();

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
      .filter(({ digest, weight }) => weight > 0 && !this.#isProbablySound(digest));
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
    const lost = new Set(end.lost);
    const others = this.#options
      .listInFlight()
      .filter((one) => one.partDigests.length > 0 && !lost.has(one));
    const elsewhere = countParts(others);
    const suspects = end.lost
      .flatMap((one) => this.#toSuspects(one, end, nowMs))
      .map((suspect) =>
        isPartDigest(suspect.digest)
          ? { ...suspect, elsewhere: elsewhere.get(suspect.digest) ?? 0 }
          : suspect,
      );
    const report = { lifeId: end.lifeId, suspects, inFlightElsewhere: others.length };
    this.#options.broadcast({ ...EMPTY_CRASH_MESSAGE, ends: [report] });
    this.#recordEnd(report, 'own');
  }

  receiveReport({ ends, answered, alive }: CrashMessage): void {
    const nowMs = performance.now();
    ends.forEach((report) => this.#recordEnd(report, 'peer'));
    answered.forEach(({ digest, beganAgoMs }) => {
      this.#noteTold(digest, nowMs);
      this.#recordAnswer(digest, nowMs - beganAgoMs, 'peer');
    });
    alive.forEach((lifeId) => this.#withdraw(lifeId, 'peer'));
  }

  /**
   * Records that an upstream answered a request of these suspects completely. This speaks against crashes
   * before the answer began, not against later ones.
   */
  recordSuccess({ suspects, beganAtMs }: CompleteAnswer): void {
    suspects.forEach((digest) => {
      if (this.#recordAnswer(digest, beganAtMs, 'own')) {
        this.#scheduleAnsweredReport(digest);
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
    { digest, partDigests, attemptId, sentAtMs, beganAtMs }: InFlightRequest,
    { isExpected: isEndExpected }: UpstreamExit,
    nowMs: number,
  ): readonly Suspect[] {
    const sent = { attemptId, sentForMs: nowMs - sentAtMs };
    const answeredForMs = beganAtMs === undefined ? undefined : nowMs - beganAtMs;
    const suspicion = judgeSuspicion({ answeredForMs, isEndExpected });
    // A part may crash its upstream late in the answer; the answers to other requests with it clear it.
    const ofParts = judgeSuspicion({ answeredForMs: undefined, isEndExpected });
    return [
      { digest, suspicion, ...sent },
      ...partDigests.map((part) => ({ digest: part, suspicion: ofParts, ...sent })),
    ];
  }

  #recordEnd(report: CrashReport, source: CrashSource): void {
    const nowMs = performance.now();
    this.#recordEndedLife(report.lifeId);
    this.#presence.record(report);
    const suspected = this.#counter.recordReport(report, nowMs);
    report.suspects
      .filter(({ digest }) => isPartDigest(digest) && this.findHold(digest) !== undefined)
      .forEach(({ digest }) => this.#counter.explain([report.lifeId], digest, nowMs));
    this.#releaseExplained(source);
    // One after the other: a hold explains crashes that were counted for other suspects too.
    for (const digest of this.#sortBySpecificity(suspected)) {
      if (this.#mustHold(digest)) {
        this.#hold(digest, source, nowMs);
      }
    }
    this.#tellAnswered(report, nowMs);
  }

  /** Whether the part runs on most upstreams, crashed or not. */
  #isCommon(digest: RequestDigest): boolean {
    return (
      isPartDigest(digest) &&
      (this.#presence.isOnMostUpstreams(digest) ?? this.#sightings.isCommon(digest))
    );
  }

  #mustHold(digest: RequestDigest): boolean {
    const isCommon = this.#isCommon(digest);
    if (this.#answered.has(digest, performance.now())) {
      const threshold = isCommon ? ANSWERED_COMMON_PART_HOLD_THRESHOLD : ANSWERED_HOLD_THRESHOLD;
      return this.#isOutlastingAnswers(digest, threshold);
    }
    const weight = this.#counter.getWeight(digest);
    const isDoubtful = isPartDigest(digest) && this.#isDoubtful(digest);
    const isCertain = !(isCommon || isDoubtful) || weight >= DOUBTFUL_PART_HOLD_THRESHOLD;
    return isCertain && this.#counter.hasReachedThreshold(digest);
  }

  /** Whether crashes went on one after the other for longer than answers take. */
  #isOutlastingAnswers(digest: RequestDigest, threshold: number): boolean {
    const sinceFirstMs = performance.now() - this.#counter.getFirstAtMs(digest);
    const weight = this.#counter.getSuccessiveWeight(digest);
    return weight >= threshold && sinceFirstMs >= ANSWERED_HOLD_DELAY_MS;
  }

  /**
   * Whether the crashes may have another cause: few attempts may be unlucky ones, each repeated on several
   * upstreams that crashed, and another part may be under the same crashes and more.
   */
  #isDoubtful(part: RequestDigest): boolean {
    const isOtherCause = (other: RequestDigest): boolean =>
      isPartDigest(other) && !this.#isCommon(other);
    return (
      this.#counter.countAttempts(part) < MIN_PART_ATTEMPTS ||
      this.#counter.isOutweighed(part, isOtherCause)
    );
  }

  /** What runs on most upstreams is on most that crash, and need not go its own way for that. */
  #isProbablySound(digest: RequestDigest): boolean {
    const isAnswered = this.#answered.has(digest, performance.now());
    return (
      this.#isCommon(digest) ||
      (isAnswered && this.#counter.getSuccessiveWeight(digest) < MIN_SUCCESSIVE_CRASHES)
    );
  }

  /** Whether the evidence for the hold is still there, as far as this daemon has had it. */
  #isJustified({ digest, lives, sinceMs }: Hold): boolean {
    const beganAtMs = this.#answered.find(digest, performance.now());
    if (beganAtMs !== undefined) {
      // Of a stored hold this daemon may know no crash, and cannot judge how they came about.
      const isJudged = lives.some((lifeId) => this.#counter.hasRecorded(digest, lifeId));
      return (!isJudged && beganAtMs < sinceMs) || this.#mustHold(digest);
    }
    const left = lives.filter((lifeId) => !this.#counter.isCleared(digest, lifeId));
    return left.length >= HOLD_THRESHOLD;
  }

  /**
   * Parts that were not answered lately and that few requests have come first, then other parts, then single
   * requests: a request that ran beside a crashing part on several upstreams is as suspect as the part.
   */
  #sortBySpecificity(suspects: readonly RequestDigest[]): readonly RequestDigest[] {
    const parts = suspects.filter((digest) => isPartDigest(digest));
    const requests = suspects.filter((digest) => !isPartDigest(digest));
    const nowMs = performance.now();
    const isAnswered = (part: RequestDigest): number => Number(this.#answered.has(part, nowMs));
    const getCount = (part: RequestDigest): number => this.#sightings.getCount(part);
    parts.sort((a, b) => isAnswered(a) - isAnswered(b) || getCount(a) - getCount(b));
    return [...parts, ...requests];
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
      this.#counter.explain(
        [...lives, ...this.#counter.listAllIncarnations(digest)],
        digest,
        performance.now(),
      );
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

  /** Releases what this daemon knows to have been answered, unless it was released meanwhile. */
  #objectToHold(hold: Hold): void {
    const { digest } = hold;
    if (this.#holds.get(digest) === hold && !this.#isJustified(hold)) {
      this.#release(digest, 'answered', 'own');
      this.#scheduleAnsweredReport(digest);
    }
  }

  /** Returns whether it changes what is known of crashes. */
  #recordAnswer(digest: RequestDigest, beganAtMs: number, source: CrashSource): boolean {
    this.#answered.note(digest, beganAtMs);
    const lives = this.#counter.clearUntil(digest, beganAtMs);
    if (lives.length > 0) {
      this.#options.logger.info(
        { event: 'suspectCleared', digest, lives, source },
        'not suspected of these crashes, as an upstream has answered it since',
      );
    }
    const hold = this.#holds.get(digest);
    const isReleased = hold !== undefined && !this.#isJustified(hold);
    if (isReleased) {
      this.#release(digest, 'answered', source);
      this.#holdSuspects(source);
    }
    return lives.length > 0 || isReleased;
  }

  /** Holds what was not blamed while another suspect was held for the same crashes. */
  #holdSuspects(source: CrashSource): void {
    const suspected = this.#counter.listSuspects();
    for (const digest of this.#sortBySpecificity(suspected)) {
      if (this.#mustHold(digest)) {
        this.#hold(digest, source, performance.now());
      }
    }
  }

  #release(digest: RequestDigest, cause: ReleaseCause, source: CrashSource): void {
    this.#holds.delete(digest);
    this.#counter.withdrawExplanation(digest);
    if (causesThatForget.includes(cause)) {
      this.#counter.clear(digest);
    }
    this.#options.logger.info(
      { event: 'requestReleased', digest, cause, source },
      'request no longer held back',
    );
    this.#listeners.forEach((listener) => listener.onReleased?.(digest, source));
  }

  /** Others may take what was answered here for unknown. */
  #tellAnswered({ suspects }: CrashReport, nowMs: number): void {
    const digests = suspects
      .map(({ digest }) => digest)
      .filter((digest) => this.#answered.has(digest, nowMs) && !this.#isTold(digest, nowMs));
    if (digests.length === 0) {
      return;
    }
    const waitMs = this.#options.random.next() * MAX_OBJECTION_MS;
    setTimeout(() => {
      digests
        .filter((digest) => !this.#isTold(digest, performance.now()))
        .forEach((digest) => this.#scheduleAnsweredReport(digest));
    }, waitMs).unref();
  }

  #isTold(digest: RequestDigest, nowMs: number): boolean {
    return nowMs - (this.#toldAtMs.get(digest) ?? -Infinity) < ANSWERED_TOLD_MS;
  }

  #noteTold(digest: RequestDigest, nowMs: number): void {
    this.#toldAtMs.delete(digest);
    this.#toldAtMs.set(digest, nowMs);
    forgetOldest(this.#toldAtMs, MAX_ANSWERED);
  }

  #scheduleAnsweredReport(digest: RequestDigest): void {
    if (this.#untold.size === 0) {
      setTimeout(() => this.#sendAnsweredReport(), ANSWERED_DELAY_MS).unref();
    }
    this.#untold.add(digest);
    this.#noteTold(digest, performance.now());
  }

  #sendAnsweredReport(): void {
    const nowMs = performance.now();
    const answered = [...this.#untold].flatMap((digest) => {
      const beganAtMs = this.#answered.find(digest, nowMs);
      return beganAtMs === undefined ? [] : [{ digest, beganAgoMs: nowMs - beganAtMs }];
    });
    this.#untold.clear();
    if (answered.length > 0) {
      this.#options.broadcast({ ...EMPTY_CRASH_MESSAGE, answered });
    }
  }
}

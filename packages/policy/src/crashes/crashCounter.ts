/**
 * Counts the upstreams that crashed under each request, across attempts and daemons. Without it, a
 * request that crashes every upstream would count as new each time: each attempt crashed up to
 * three engines, and its caller crashed two dozen within ten seconds.
 *
 * Crashes are kept as sets, not as sums: the same crash reported twice, or by two daemons, counts
 * once, in any order.
 */
import { forgetOldest, type RequestDigest } from '@snipehaven/common';
import type { CrashReport, Suspicion } from './types.js';

/**
 * One crash can be a coincidence, and so can a second one, caused by another request that ran at
 * the same upstream. With a threshold of two, each crash of a rack under a busy service would hold
 * requests.
 */
export const HOLD_THRESHOLD = 3;

/**
 * Threshold while all crashes belong to a single attempt. When upstreams crash independently of the
 * request one after the other, a request may lose all three upstreams that its route allows, and
 * its caller's next attempt would be refused although it could be served.
 */
export const SINGLE_ATTEMPT_HOLD_THRESHOLD = 4;

/** So many times the crashes of a held suspect show that another one caused them. */
const FAR_MORE = 2;

const weights: Readonly<Record<Suspicion, number>> = { strong: 1, weak: 0.5 };

/**
 * Threshold for what was answered a short while before, by crashes that came one after the other. What was
 * answered is on many upstreams that are lost at once for another reason, but then survives the next one.
 */
export const ANSWERED_HOLD_THRESHOLD = 4;

/**
 * How long a request is held. Callers retry for a few minutes at most, and each release may cost as
 * many upstreams as it took to hold the request; a request that is held by mistake must be released
 * eventually. An operator may release it earlier.
 */
export const HOLD_MS = 600_000;

/** Crashes older than this do not count, because callers retry within minutes. */
export const CRASH_EXPIRY_MS = 600_000;

/**
 * Maximum number of tracked requests. An engine crashes with about a hundred requests at most, and
 * nearly all of them are cleared by their next answer. At 22 bytes and a few incarnation ids each,
 * this stays below 1 MB.
 */
const MAX_TRACKED_REQUESTS = 2_048;

interface RecordedCrash {
  readonly weight: number;
  readonly attemptIds: ReadonlySet<string>;
  /** When the last of the requests that were lost in it was sent. */
  readonly sentAtMs: number;
  readonly atMs: number;
}

type CrashesByIncarnation = Map<string, RecordedCrash>;

/** Merges two reports of the same crash, from two daemons or of two attempts. */
const joinCrashes = (a: RecordedCrash, b: RecordedCrash): RecordedCrash => ({
  weight: Math.max(a.weight, b.weight),
  attemptIds: new Set([...a.attemptIds, ...b.attemptIds]),
  sentAtMs: Math.max(a.sentAtMs, b.sentAtMs),
  atMs: Math.min(a.atMs, b.atMs),
});

const sumWeights = (crashes: CrashesByIncarnation): number =>
  [...crashes.values()].reduce((sum, { weight }) => sum + weight, 0);

/**
 * Weight of crashes that came one after the other: each under the attempt of another caller, sent after the
 * crash before. One unlucky attempt is repeated, and may be on each upstream that crashes.
 */
const sumSuccessiveWeights = (crashes: CrashesByIncarnation): number => {
  const oldestFirst = [...crashes.values()].sort((a, b) => a.atMs - b.atMs);
  const countedAttempts = new Set<string>();
  let sum = 0;
  let lastAtMs = -Infinity;
  for (const { weight, attemptIds, sentAtMs, atMs } of oldestFirst) {
    const attemptId = [...attemptIds].find((one) => !countedAttempts.has(one));
    if (sentAtMs >= lastAtMs && attemptId !== undefined) {
      countedAttempts.add(attemptId);
      sum += weight;
      lastAtMs = atMs;
    }
  }
  return sum;
};

export class CrashCounter {
  /** By request, then by the incarnation that crashed; the most recently recorded ones come last. */
  readonly #crashes = new Map<RequestDigest, CrashesByIncarnation>();

  /**
   * Incarnations whose crashes were cleared from a request; the most recently cleared ones come last.
   * Reports arrive more than once and are relayed. One that arrives after the answer must not count
   * against the request again.
   */
  readonly #cleared = new Map<RequestDigest, ReadonlySet<string>>();

  /**
   * Crashes that are put down to one suspect, by incarnation; the most recent ones come last. Others
   * that ran there are not blamed, whenever their reports arrive.
   */
  readonly #explainedBy = new Map<string, RequestDigest>();

  /**
   * When crashes were first put down to a suspect. It is no longer sent from then on, so that later crashes
   * under others say nothing of who caused the earlier ones.
   */
  readonly #explainedSinceMs = new Map<RequestDigest, number>();

  /** No crash is older. */
  #oldestAtMs = Infinity;

  readonly #isFrequent: (digest: RequestDigest) => boolean;

  constructor(isFrequent: (digest: RequestDigest) => boolean = () => false) {
    this.#isFrequent = isFrequent;
  }

  /** Number of tracked requests. */
  get size(): number {
    return this.#crashes.size;
  }

  /** Records the crash for each suspect and returns those that have now reached their threshold. */
  recordReport({ lifeId, suspects }: CrashReport, nowMs: number): readonly RequestDigest[] {
    this.#dropExpired(nowMs);
    for (const { digest, suspicion, attemptId, sentForMs = Infinity } of suspects) {
      const attemptIds = new Set([attemptId]);
      const times = { sentAtMs: nowMs - sentForMs, atMs: nowMs };
      this.#recordCrash(digest, lifeId, { weight: weights[suspicion], attemptIds, ...times });
    }
    this.#evictLeastSuspect();
    return [...new Set(suspects.map(({ digest }) => digest))].filter((digest) =>
      this.hasReachedThreshold(digest),
    );
  }

  /**
   * Whether so many upstreams crashed under the request that it must not be sent to another one.
   */
  hasReachedThreshold(digest: RequestDigest): boolean {
    // Most suspects are under one crash, and there are hundreds in a report.
    if ((this.#crashes.get(digest)?.size ?? 0) < HOLD_THRESHOLD) {
      return false;
    }
    const bound = this.countAttempts(digest) > 1 ? HOLD_THRESHOLD : SINGLE_ATTEMPT_HOLD_THRESHOLD;
    return this.getWeight(digest) >= bound;
  }

  /** Number of callers' attempts that were lost in the crashes. */
  countAttempts(digest: RequestDigest): number {
    const crashes = [...this.#getBlamed(digest).values()];
    return new Set(crashes.flatMap(({ attemptIds }) => [...attemptIds])).size;
  }

  /** When the first of the crashes was reported; Infinity if there is none. */
  getFirstAtMs(digest: RequestDigest): number {
    return Math.min(...[...this.#getBlamed(digest).values()].map(({ atMs }) => atMs));
  }

  /** Total weight of the crashes under the request. */
  getWeight(digest: RequestDigest): number {
    return sumWeights(this.#getBlamed(digest));
  }

  /** Weight of crashes that came one after the other, each under another attempt. */
  getSuccessiveWeight(digest: RequestDigest): number {
    return sumSuccessiveWeights(this.#getBlamed(digest));
  }

  /** Whether one of these others is under all of its crashes, and under more. */
  isOutweighed(digest: RequestDigest, isOther: (digest: RequestDigest) => boolean): boolean {
    const lives = [...this.#getBlamed(digest).keys()];
    return [...this.#crashes].some(
      ([other, crashes]) =>
        crashes.size > lives.length &&
        lives.every((lifeId) => crashes.has(lifeId)) &&
        isOther(other),
    );
  }

  /** Requests with crashes that are not put down to others. */
  listSuspects(): readonly RequestDigest[] {
    return [...this.#crashes.keys()].filter((digest) => this.#getBlamed(digest).size > 0);
  }

  /** Whether the request was cleared of this crash. */
  isCleared(digest: RequestDigest, lifeId: string): boolean {
    return this.#cleared.get(digest)?.has(lifeId) === true;
  }

  /** As `listCrashedIncarnations`, also those put down to other suspects. */
  listAllIncarnations(digest: RequestDigest): readonly string[] {
    return [...(this.#crashes.get(digest)?.keys() ?? [])];
  }

  /** Ids of the incarnations that crashed under the request. */
  listCrashedIncarnations(digest: RequestDigest): readonly string[] {
    return [...this.#getBlamed(digest).keys()];
  }

  /** Whether this crash was recorded for the request, even if it was cleared since. */
  hasRecorded(digest: RequestDigest, lifeId: string): boolean {
    return (
      this.#crashes.get(digest)?.has(lifeId) === true ||
      this.#cleared.get(digest)?.has(lifeId) === true
    );
  }

  /**
   * Clears a request that was answered completely, because an upstream ran it and is still alive.
   * Returns false if no crash was recorded for it.
   */
  clear(digest: RequestDigest): boolean {
    const crashes = this.#crashes.get(digest);
    if (crashes === undefined) {
      return false;
    }
    this.#crashes.delete(digest);
    this.#rememberCleared(digest, crashes);
    return true;
  }

  /**
   * Clears a request of the crashes before an answer to it began, because another upstream ran it after
   * them and is still alive. Returns the incarnations of these crashes.
   */
  clearUntil(digest: RequestDigest, beganAtMs: number): readonly string[] {
    const crashes = this.#crashes.get(digest) ?? new Map<string, RecordedCrash>();
    const earlier = new Map([...crashes].filter(([, { atMs }]) => atMs <= beganAtMs));
    if (earlier.size > 0) {
      earlier.forEach((_, lifeId) => crashes.delete(lifeId));
      this.#rememberCleared(digest, earlier);
    }
    if (crashes.size === 0) {
      this.#crashes.delete(digest);
    }
    return [...earlier.keys()];
  }

  /**
   * Withdraws the crash of an upstream that turns out to be alive, for example after a network
   * partition.
   */
  withdraw(lifeId: string): void {
    for (const [digest, crashes] of this.#crashes) {
      crashes.delete(lifeId);
      if (crashes.size === 0) {
        this.#crashes.delete(digest);
      }
    }
  }

  /**
   * Puts the crashes of these incarnations down to one suspect, unless they are put down to one with as many
   * crashes. Others are not blamed for them while that lasts, whenever their reports arrive.
   */
  explain(lives: readonly string[], suspect: RequestDigest, nowMs: number): void {
    lives
      .filter((lifeId) => {
        const other = this.#explainedBy.get(lifeId);
        return other === undefined || this.#isLikelier(suspect, other);
      })
      .forEach((lifeId) => this.#explainedBy.set(lifeId, suspect));
    if (!this.#explainedSinceMs.has(suspect)) {
      this.#explainedSinceMs.set(suspect, nowMs);
    }
    forgetOldest(this.#explainedBy, MAX_TRACKED_REQUESTS);
    forgetOldest(this.#explainedSinceMs, MAX_TRACKED_REQUESTS);
  }

  /** The crashes that were put down to the suspect count against the others again. */
  withdrawExplanation(suspect: RequestDigest): void {
    this.#explainedSinceMs.delete(suspect);
    [...this.#explainedBy]
      .filter(([, one]) => one === suspect)
      .forEach(([lifeId]) => this.#explainedBy.delete(lifeId));
  }

  /** Whether crashes were counted for it and all of them are better explained by other suspects. */
  isExplained(digest: RequestDigest): boolean {
    const crashes = this.#crashes.get(digest);
    return (
      crashes !== undefined &&
      [...crashes.keys()].every((lifeId) => {
        const other = this.#explainedBy.get(lifeId);
        return other !== undefined && other !== digest && this.#isRefutedBy(other, digest);
      })
    );
  }

  /**
   * What is held is under no later crashes, so that others with more crashes need not have caused the earlier
   * ones: they had more by then, or have far more since.
   */
  #isRefutedBy(other: RequestDigest, digest: RequestDigest): boolean {
    const weight = this.#getRawWeight(digest);
    const heldSinceMs = this.#explainedSinceMs.get(digest);
    if (heldSinceMs === undefined) {
      return this.#isFrequent(digest) || this.#getRawWeight(other) >= weight;
    }
    return (
      this.#getRawWeight(other, heldSinceMs) > this.#getRawWeight(digest, heldSinceMs) ||
      this.#getRawWeight(other) >= FAR_MORE * weight
    );
  }

  /**
   * The crashes that are not put down to another suspect. Those put down to one with fewer crashes count,
   * as it may have been on these upstreams by chance; but not for what is frequent, and so on most upstreams.
   */
  #getBlamed(digest: RequestDigest): CrashesByIncarnation {
    const crashes = this.#crashes.get(digest) ?? new Map<string, RecordedCrash>();
    return new Map(
      [...crashes].filter(([lifeId]) => {
        const other = this.#explainedBy.get(lifeId);
        return other === undefined || other === digest || this.#isLikelier(digest, other);
      }),
    );
  }

  /** Whether a suspect that is not on most upstreams anyway has more crashes than another one. */
  #isLikelier(digest: RequestDigest, other: RequestDigest): boolean {
    return !this.#isFrequent(digest) && this.#getRawWeight(other) < this.#getRawWeight(digest);
  }

  #getRawWeight(digest: RequestDigest, untilMs = Infinity): number {
    const crashes = [...(this.#crashes.get(digest)?.values() ?? [])];
    return crashes
      .filter(({ atMs }) => atMs <= untilMs)
      .reduce((sum, { weight }) => sum + weight, 0);
  }

  #rememberCleared(digest: RequestDigest, crashes: CrashesByIncarnation): void {
    const instanceIds = new Set([...(this.#cleared.get(digest) ?? []), ...crashes.keys()]);
    this.#cleared.delete(digest);
    this.#cleared.set(digest, instanceIds);
    forgetOldest(this.#cleared, MAX_TRACKED_REQUESTS);
  }

  #recordCrash(digest: RequestDigest, lifeId: string, crash: RecordedCrash): void {
    if (this.#cleared.get(digest)?.has(lifeId)) {
      return;
    }
    const crashes = this.#crashes.get(digest) ?? new Map<string, RecordedCrash>();
    const known = crashes.get(lifeId);
    crashes.set(lifeId, known === undefined ? crash : joinCrashes(known, crash));
    this.#crashes.delete(digest);
    this.#crashes.set(digest, crashes);
    this.#oldestAtMs = Math.min(this.#oldestAtMs, crash.atMs);
  }

  #dropExpired(nowMs: number): void {
    if (nowMs - this.#oldestAtMs <= CRASH_EXPIRY_MS) {
      return;
    }
    this.#oldestAtMs = Infinity;
    for (const [digest, crashes] of this.#crashes) {
      for (const [lifeId, { atMs }] of crashes) {
        if (nowMs - atMs > CRASH_EXPIRY_MS) {
          crashes.delete(lifeId);
        } else {
          this.#oldestAtMs = Math.min(this.#oldestAtMs, atMs);
        }
      }
      if (crashes.size === 0) {
        this.#crashes.delete(digest);
      }
    }
  }

  /**
   * Evicts the requests with the least weight first, so that many requests with one crash each do
   * not evict one with more crashes.
   */
  #evictLeastSuspect(): void {
    const surplus = this.#crashes.size - MAX_TRACKED_REQUESTS;
    if (surplus <= 0) {
      return;
    }
    const oldestFirst = [...this.#crashes].map(([digest, crashes]) => ({
      digest,
      weight: sumWeights(crashes),
    }));
    oldestFirst.sort((a, b) => a.weight - b.weight);
    oldestFirst.slice(0, surplus).forEach(({ digest }) => this.#crashes.delete(digest));
  }
}

/**
 * How many upstreams ended under each request, whatever attempt and daemon brought it there. A request
 * that ends whoever runs it would otherwise be a new one each time it comes: each attempt ended up to three
 * engines, and its caller ended two dozen in ten seconds.
 *
 * Ends are sets, not sums: the same end told twice, or by two daemons, counts once, in any order.
 */
import { forgetOldest, type RequestDigest } from '@snipehaven/common';
import type { EndReport, Suspicion } from './types.js';

/**
 * Three ends: one may be chance, and an upstream that takes a second one with it may be bad luck with what
 * else ran there. With two, each crash of a rack under a busy service would hold requests back.
 */
export const HOLD_WEIGHT = 3;

/**
 * One attempt alone takes a fourth end: where upstreams end by chance, one after the other, a request may
 * lose all three that its route allows, and its caller's next attempt would be refused though it is served.
 */
export const LONE_ATTEMPT_WEIGHT = 4;

const weights: Readonly<Record<Suspicion, number>> = { strong: 1, weak: 0.5 };

/**
 * How long a request is held back. Callers that repeat one go on for minutes at the most, and each release
 * may cost as many upstreams as it took to hold it; a request that is held wrongly must not be so for ever.
 * An operator may release it sooner.
 */
export const HOLD_MS = 600_000;

/** An end says nothing any more when this old; callers come back within minutes. */
export const FORGET_AFTER_MS = 600_000;

/**
 * Requests remembered. An engine ends with some hundred at the most, and nearly all of them are cleared by
 * their next answer; at 22 bytes and a few lives each it stays below 1 MB.
 */
const MAX_SUSPECTS = 2_048;

interface NotedEnd {
  readonly weight: number;
  readonly attemptIds: ReadonlySet<string>;
  readonly atMs: number;
}

type Ends = Map<string, NotedEnd>;

/** The same end, told by two daemons or of two attempts. */
const joinEnds = (a: NotedEnd, b: NotedEnd): NotedEnd => ({
  weight: Math.max(a.weight, b.weight),
  attemptIds: new Set([...a.attemptIds, ...b.attemptIds]),
  atMs: Math.min(a.atMs, b.atMs),
});

const sumWeights = (ends: Ends): number =>
  [...ends.values()].reduce((sum, { weight }) => sum + weight, 0);

export class CrashLedger {
  /** By request, then by the life that ended; those noted last come last. */
  readonly #ends = new Map<RequestDigest, Ends>();

  /**
   * Lives whose end was cleared from a request, the last cleared last. News are told twice and passed on: one
   * that comes after the answer must not blame the request again.
   */
  readonly #settled = new Map<RequestDigest, ReadonlySet<string>>();

  /** Requests remembered. */
  get size(): number {
    return this.#ends.size;
  }

  /** Those of the report whose weight now reaches the bound. */
  note({ lifeId, suspects }: EndReport, nowMs: number): readonly RequestDigest[] {
    this.#forgetOld(nowMs);
    for (const { digest, suspicion, attemptId } of suspects) {
      const attemptIds = new Set([attemptId]);
      this.#noteOne(digest, lifeId, { weight: weights[suspicion], attemptIds, atMs: nowMs });
    }
    this.#dropLeastSuspect();
    return suspects.map(({ digest }) => digest).filter((digest) => this.isGuilty(digest));
  }

  /** Whether so many upstreams ended under it that it must not be at another one. */
  isGuilty(digest: RequestDigest): boolean {
    const ends = [...(this.#ends.get(digest)?.values() ?? [])];
    const attempts = new Set(ends.flatMap(({ attemptIds }) => [...attemptIds]));
    const bound = attempts.size > 1 ? HOLD_WEIGHT : LONE_ATTEMPT_WEIGHT;
    return this.getWeight(digest) >= bound;
  }

  /** 0 for a request under which nothing ended. */
  getWeight(digest: RequestDigest): number {
    const ends = this.#ends.get(digest);
    return ends === undefined ? 0 : sumWeights(ends);
  }

  /** The lives that ended under it. */
  listLives(digest: RequestDigest): readonly string[] {
    return [...(this.#ends.get(digest)?.keys() ?? [])];
  }

  /** Whether this very end was noted, cleared since or not. */
  hasNoted(digest: RequestDigest, lifeId: string): boolean {
    return (
      this.#ends.get(digest)?.has(lifeId) === true ||
      this.#settled.get(digest)?.has(lifeId) === true
    );
  }

  /** The request was answered in whole: an upstream ran it and lives. False when nothing was known of it. */
  clear(digest: RequestDigest): boolean {
    const ends = this.#ends.get(digest);
    if (ends === undefined) {
      return false;
    }
    this.#ends.delete(digest);
    this.#settle(digest, ends);
    return true;
  }

  /** The upstream lives after all, as behind a cut that has healed. */
  withdraw(lifeId: string): void {
    for (const [digest, ends] of this.#ends) {
      ends.delete(lifeId);
      if (ends.size === 0) {
        this.#ends.delete(digest);
      }
    }
  }

  #settle(digest: RequestDigest, ends: Ends): void {
    const lives = new Set([...(this.#settled.get(digest) ?? []), ...ends.keys()]);
    this.#settled.delete(digest);
    this.#settled.set(digest, lives);
    forgetOldest(this.#settled, MAX_SUSPECTS);
  }

  #noteOne(digest: RequestDigest, lifeId: string, end: NotedEnd): void {
    if (this.#settled.get(digest)?.has(lifeId)) {
      return;
    }
    const ends = this.#ends.get(digest) ?? new Map<string, NotedEnd>();
    const known = ends.get(lifeId);
    ends.set(lifeId, known === undefined ? end : joinEnds(known, end));
    this.#ends.delete(digest);
    this.#ends.set(digest, ends);
  }

  #forgetOld(nowMs: number): void {
    for (const [digest, ends] of this.#ends) {
      for (const [lifeId, { atMs }] of ends) {
        if (nowMs - atMs > FORGET_AFTER_MS) {
          ends.delete(lifeId);
        }
      }
      if (ends.size === 0) {
        this.#ends.delete(digest);
      }
    }
  }

  /** A flood of requests that each saw one end must not push out one that saw more. */
  #dropLeastSuspect(): void {
    const surplus = this.#ends.size - MAX_SUSPECTS;
    if (surplus <= 0) {
      return;
    }
    const oldestFirst = [...this.#ends].map(([digest, ends]) => ({
      digest,
      weight: sumWeights(ends),
    }));
    oldestFirst.sort((a, b) => a.weight - b.weight);
    oldestFirst.slice(0, surplus).forEach(({ digest }) => this.#ends.delete(digest));
  }
}

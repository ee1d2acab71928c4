/**
 * How often the parts of prompts occur in the requests of this daemon. A part of most requests runs
 * on every upstream that crashes, so that crashes are no evidence against it.
 */
import { forgetOldest, type RequestDigest } from '@snipehaven/common';
import { MAX_SIGHTED_PARTS, SIGHTING_HALF_LIFE_MS } from './constants.js';

/** Parts of at least this share of the requests are common. */
const COMMON_SHARE = 0.5;

/** Fewer requests tell nothing of shares. */
const MIN_REQUESTS = 8;

export class PartSightings {
  /** Number of requests by part; the most recently seen one comes last. */
  readonly #counts = new Map<RequestDigest, number>();

  #requests = 0;

  #halvedAtMs = 0;

  note(parts: readonly RequestDigest[], nowMs: number): void {
    if (nowMs - this.#halvedAtMs > SIGHTING_HALF_LIFE_MS) {
      this.#halve(nowMs);
    }
    this.#requests += 1;
    parts.forEach((part) => {
      const count = this.getCount(part) + 1;
      this.#counts.delete(part);
      this.#counts.set(part, count);
    });
    forgetOldest(this.#counts, MAX_SIGHTED_PARTS);
  }

  getCount(part: RequestDigest): number {
    return this.#counts.get(part) ?? 0;
  }

  isCommon(part: RequestDigest): boolean {
    return this.#requests >= MIN_REQUESTS && this.getCount(part) >= this.#requests * COMMON_SHARE;
  }

  #halve(nowMs: number): void {
    this.#halvedAtMs = nowMs;
    this.#requests /= 2;
    this.#counts.forEach((count, part) => this.#counts.set(part, count / 2));
  }
}

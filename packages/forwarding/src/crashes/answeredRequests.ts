/**
 * Requests and parts of prompts that upstreams answered completely in the recent past, newest last. A
 * question that many callers ask is running on nearly every upstream that crashes, and its answers may be
 * seconds apart.
 */
import { forgetOldest, type RequestDigest } from '@snipehaven/common';
import { ANSWERED_FOR_MS, MAX_ANSWERED } from './constants.js';

export class AnsweredRequests {
  /** When the latest complete answer began, by what was answered. */
  readonly #beganAtMs = new Map<RequestDigest, number>();

  note(digest: RequestDigest, beganAtMs: number): void {
    const latestMs = Math.max(beganAtMs, this.#beganAtMs.get(digest) ?? -Infinity);
    this.#beganAtMs.delete(digest);
    this.#beganAtMs.set(digest, latestMs);
    forgetOldest(this.#beganAtMs, MAX_ANSWERED);
  }

  /** When the latest complete answer began; undefined if that is long ago. */
  find(digest: RequestDigest, nowMs: number): number | undefined {
    const beganAtMs = this.#beganAtMs.get(digest);
    return beganAtMs !== undefined && nowMs - beganAtMs < ANSWERED_FOR_MS ? beganAtMs : undefined;
  }

  has(digest: RequestDigest, nowMs: number): boolean {
    return this.find(digest, nowMs) !== undefined;
  }
}

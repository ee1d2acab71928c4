/**
 * Requests that upstreams answered completely in the recent past, newest last. A question that many
 * callers ask is running on nearly every upstream that crashes, and its answers may be seconds apart.
 */
import { forgetOldest, type RequestDigest } from '@snipehaven/common';
import { ANSWERED_FOR_MS, MAX_ANSWERED } from './constants.js';

export class AnsweredRequests {
  /** Keyed by request: the end of its last complete answer. */
  readonly #answeredAtMs = new Map<RequestDigest, number>();

  note(digest: RequestDigest, nowMs: number): void {
    this.#answeredAtMs.delete(digest);
    this.#answeredAtMs.set(digest, nowMs);
    forgetOldest(this.#answeredAtMs, MAX_ANSWERED);
  }

  has(digest: RequestDigest, nowMs: number): boolean {
    return nowMs - (this.#answeredAtMs.get(digest) ?? -Infinity) < ANSWERED_FOR_MS;
  }
}

/**
 * Requests that upstreams answered in whole a short while ago, the newest last. A question that many callers
 * ask alike is on nearly every upstream that ends, and its answers in between may be seconds apart.
 */
import { forgetOldest, type RequestDigest } from '@snipehaven/common';
import { ANSWERED_FOR_MS, MAX_ANSWERED } from './constants.js';

export class AnsweredRequests {
  /** By request, when its last whole answer ended. */
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

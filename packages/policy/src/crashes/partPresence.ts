/**
 * Which parts of prompts run on most upstreams: that they were on one that crashed says nothing of them.
 * With many requests at a time on each upstream, a part of a tenth of the requests is on nearly all.
 *
 * Taken from requests that were in flight on other upstreams when one crashed, as counted by the daemons
 * that report the crash.
 */
import { forgetOldest, type RequestDigest } from '@snipehaven/common';
import type { CrashReport } from './types.js';

/** From this chance of being on an upstream a part counts as being on most. */
const PRESENT_CHANCE = 0.95;

/** With fewer requests in flight elsewhere nothing can be told. */
const MIN_REQUESTS = 16;

/** The last ones count, as what callers send changes. */
const MAX_CRASHES = 16;

interface ObservedCrash {
  readonly attemptIds: Set<string>;
  inFlightElsewhere: number;
  readonly elsewhere: Map<RequestDigest, number>;
}

const sum = (values: readonly number[]): number => values.reduce((total, one) => total + one, 0);

export class PartPresence {
  /** By incarnation, newest last. */
  readonly #crashes = new Map<string, ObservedCrash>();

  record({ lifeId, suspects, inFlightElsewhere = 0 }: CrashReport): void {
    const crash = this.#crashes.get(lifeId) ?? {
      attemptIds: new Set<string>(),
      inFlightElsewhere: 0,
      elsewhere: new Map<RequestDigest, number>(),
    };
    crash.inFlightElsewhere += inFlightElsewhere;
    const toldOf = new Map(suspects.map(({ digest, elsewhere = 0 }) => [digest, elsewhere]));
    toldOf.forEach((count, digest) => {
      crash.elsewhere.set(digest, (crash.elsewhere.get(digest) ?? 0) + count);
    });
    suspects.forEach(({ attemptId }) => crash.attemptIds.add(attemptId));
    this.#crashes.set(lifeId, crash);
    forgetOldest(this.#crashes, MAX_CRASHES);
  }

  /** Undefined while too little is known. */
  isOnMostUpstreams(part: RequestDigest): boolean | undefined {
    const crashes = [...this.#crashes.values()];
    const all = sum(crashes.map(({ inFlightElsewhere }) => inFlightElsewhere));
    if (all < MIN_REQUESTS) {
      return undefined;
    }
    const share = sum(crashes.map(({ elsewhere }) => elsewhere.get(part) ?? 0)) / all;
    const requestsEach = sum(crashes.map(({ attemptIds }) => attemptIds.size)) / crashes.length;
    return 1 - (1 - share) ** requestsEach >= PRESENT_CHANCE;
  }
}

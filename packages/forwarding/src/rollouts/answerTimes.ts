/** Records how long the answers of both versions take, relative to the time expected of each. */
import {
  NO_LATENCIES,
  addLatency,
  findBinOfRatio,
  findLatencyBin,
  scaleLatencies,
  type LatencyProfile,
} from '@snipehaven/policy';
import type { VersionRole } from './types.js';

/**
 * Half-life of the recorded times as a fraction of the roll-out's duration, and its least value. Both
 * versions fade alike, so that they are compared over the same period.
 */
const HALF_LIFE_FRACTION = 0.2;
const MIN_HALF_LIFE_MS = 2_000;

/** An answer that has not begun counts from this many times the expected time on. */
const OVERDUE_BIN = findBinOfRatio(2);

/** A request that waits for its answer. */
export interface AwaitedAnswer {
  readonly role: VersionRole;
  readonly sentAtMs: number;
  readonly expectedMs: number;
  /** Whether its upstream has sent nothing to anyone for a while: its version may not be the cause. */
  isUpstreamSilent(): boolean;
}

export class AnswerTimes {
  readonly #halfLifeMs: number;

  /** Times until answers began. */
  readonly #profiles: Record<VersionRole, LatencyProfile> = {
    candidate: NO_LATENCIES,
    present: NO_LATENCIES,
  };

  /** Times of answers from their beginning on. */
  readonly #bodies: Record<VersionRole, LatencyProfile> = {
    candidate: NO_LATENCIES,
    present: NO_LATENCIES,
  };

  readonly #requests: Record<VersionRole, number> = { candidate: 0, present: 0 };

  readonly #awaited = new Set<AwaitedAnswer>();

  #fadedAtMs = performance.now();

  constructor(durationMs: number) {
    this.#halfLifeMs = Math.max(MIN_HALF_LIFE_MS, durationMs * HALF_LIFE_FRACTION);
  }

  /** Requests sent to the version since the order. */
  getRequests(role: VersionRole): number {
    return this.#requests[role];
  }

  /** Times of answers that have begun, and of those that are overdue. */
  getProfile(role: VersionRole): LatencyProfile {
    this.#fade();
    return [...this.#awaited]
      .filter((answer) => answer.role === role)
      .reduce((profile, answer) => this.#addOverdue(profile, answer), this.#profiles[role]);
  }

  getBodyProfile(role: VersionRole): LatencyProfile {
    this.#fade();
    return this.#bodies[role];
  }

  /** Records the time of an answer, or of a part of it, from its beginning on. */
  recordBody(role: VersionRole, tookMs: number, expectedMs: number): void {
    this.#fade();
    this.#bodies[role] = addLatency(this.#bodies[role], findLatencyBin(tookMs, expectedMs));
  }

  start(answer: AwaitedAnswer): void {
    this.#requests[answer.role] += 1;
    this.#awaited.add(answer);
  }

  /** The answer has begun. */
  finish(answer: AwaitedAnswer): void {
    if (this.#awaited.delete(answer)) {
      this.#fade();
      const bin = findLatencyBin(performance.now() - answer.sentAtMs, answer.expectedMs);
      this.#profiles[answer.role] = addLatency(this.#profiles[answer.role], bin);
    }
  }

  /** Nobody waits for the answer any more. It counts with the wait so far if it is overdue. */
  abandon(answer: AwaitedAnswer): void {
    if (this.#awaited.delete(answer)) {
      this.#fade();
      this.#profiles[answer.role] = this.#addOverdue(this.#profiles[answer.role], answer);
    }
  }

  /** The request did not run, failed, or its wait says nothing about the version. */
  drop(answer: AwaitedAnswer): void {
    this.#awaited.delete(answer);
  }

  #addOverdue(profile: LatencyProfile, answer: AwaitedAnswer): LatencyProfile {
    const bin = findLatencyBin(performance.now() - answer.sentAtMs, answer.expectedMs);
    return bin < OVERDUE_BIN || answer.isUpstreamSilent() ? profile : addLatency(profile, bin);
  }

  #fade(): void {
    const nowMs = performance.now();
    const factor = 0.5 ** ((nowMs - this.#fadedAtMs) / this.#halfLifeMs);
    this.#fadedAtMs = nowMs;
    for (const profiles of [this.#profiles, this.#bodies]) {
      profiles.candidate = scaleLatencies(profiles.candidate, factor);
      profiles.present = scaleLatencies(profiles.present, factor);
    }
  }
}

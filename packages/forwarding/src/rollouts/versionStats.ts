/**
 * Counts the answers of both versions of a service, and detects slow ones by the response times of
 * the old version.
 */
import { NO_ANSWERS, addVersionCounts, type VersionCounts } from '@snipehaven/policy';
import type { RolloutAnswer, RolloutWork, VersionRole } from './types.js';

/** An answer this many times slower than the old version's average is bad. */
const SLOW_FACTOR = 4;

/**
 * Weight of a slow answer against 1 for a failure. A slow answer is weaker evidence: one long
 * prompt delays all requests queued behind it at its upstream, whatever the version. With a weight
 * of 1, three answers behind one prompt rolled back a good version in six of eleven simulations of
 * normal days; with this weight it takes six answers.
 */
const SLOW_WEIGHT = 0.5;

/**
 * Tolerance added to the limit, as short response times vary by this much for unrelated reasons.
 */
const SLOW_SLACK_MS = 250;
const TIME_SMOOTHING = 0.1;

/**
 * Counts are halved at this number, so that recent answers dominate: a version may turn bad late,
 * or only under load.
 */
const MAX_ANSWERS = 80;

const decay = (counts: VersionCounts): VersionCounts =>
  counts.answers < MAX_ANSWERS ? counts : { answers: counts.answers / 2, bad: counts.bad / 2 };

const decayAndAdd = (known: VersionCounts, counts: VersionCounts): VersionCounts =>
  addVersionCounts(counts.answers > 0 ? decay(known) : known, counts);

const updateAverage = (averages: Map<string, number>, workKind: string, seen: number): void => {
  const before = averages.get(workKind) ?? seen;
  averages.set(workKind, before + (seen - before) * TIME_SMOOTHING);
};

export class VersionStats {
  readonly #counts: Record<VersionRole, VersionCounts> = {
    candidate: NO_ANSWERS,
    present: NO_ANSWERS,
  };

  /** Counts of the candidate at full share, by the upstream's data centre. */
  readonly #candidateAtFullShare = new Map<string, VersionCounts>();

  #isAtFullShare = false;

  /** Average time until an answer begins on the old version, by kind of work. */
  readonly #baselineMs = new Map<string, number>();

  /** Average time per byte of an answer after its beginning, by kind of work. */
  readonly #baselineMsPerByte = new Map<string, number>();

  get candidate(): VersionCounts {
    return this.#counts.candidate;
  }

  get present(): VersionCounts {
    return this.#counts.present;
  }

  /** The candidate's answers since all requests were directed to it, keyed by the upstream's data centre. */
  get candidateAtFullShare(): ReadonlyMap<string, VersionCounts> {
    return this.#candidateAtFullShare;
  }

  /** Marks that all requests are directed to the candidate from now on. */
  startFullShare(): void {
    this.#isAtFullShare = true;
  }

  /**
   * Time in ms after which an answer counts as slow; Infinity before the old version has answered.
   */
  getSlowMs(workKind: string): number {
    const baselineMs = this.#baselineMs.get(workKind) ?? Infinity;
    return baselineMs * SLOW_FACTOR + SLOW_SLACK_MS;
  }

  /**
   * Time in ms after which a body of this size counts as slow, from the beginning of the answer;
   * Infinity as above.
   */
  getSlowBodyMs(workKind: string, bytes: number): number {
    const baselineMs = (this.#baselineMsPerByte.get(workKind) ?? Infinity) * bytes;
    return baselineMs * SLOW_FACTOR + SLOW_SLACK_MS;
  }

  /** Expected time of a body of this size; undefined before the old version has sent one. */
  getExpectedBodyMs(workKind: string, bytes: number): number | undefined {
    const msPerByte = this.#baselineMsPerByte.get(workKind);
    return msPerByte === undefined ? undefined : msPerByte * bytes;
  }

  /** Counts a slow body of an answer that is already counted. */
  countSlowBody(role: VersionRole, { dataCentre }: RolloutWork): void {
    this.#add(role, dataCentre, { answers: 0, bad: SLOW_WEIGHT });
  }

  /** Updates the old version's average from a complete answer. */
  recordBodyRate(workKind: string, msPerByte: number): void {
    updateAverage(this.#baselineMsPerByte, workKind, msPerByte);
  }

  /** Returns true if the answer was bad. */
  count(role: VersionRole, answer: RolloutAnswer): boolean {
    const weight = this.#getBadWeight(answer);
    this.#add(role, answer.dataCentre, { answers: 1, bad: weight });
    if (role === 'present' && answer.headMs !== undefined) {
      updateAverage(this.#baselineMs, answer.workKind, answer.headMs);
    }
    return weight > 0;
  }

  #add(role: VersionRole, dataCentre: string, counts: VersionCounts): void {
    this.#counts[role] = decayAndAdd(this.#counts[role], counts);
    if (role === 'candidate' && this.#isAtFullShare) {
      const known = this.#candidateAtFullShare.get(dataCentre) ?? NO_ANSWERS;
      this.#candidateAtFullShare.set(dataCentre, decayAndAdd(known, counts));
    }
  }

  /** Weight of the answer as evidence against its version, from 0 to 1. */
  #getBadWeight(answer: RolloutAnswer): number {
    if (answer.isFailed) {
      return 1;
    }
    return this.#isSlow(answer) ? SLOW_WEIGHT : 0;
  }

  #isSlow({ workKind, headMs = 0 }: RolloutAnswer): boolean {
    return headMs > this.getSlowMs(workKind);
  }
}

/** Counts answers of the two versions of a service, and tells slow ones by the old version's times. */
import { NO_ANSWERS, addVersionCounts, type VersionCounts } from '@snipehaven/policy';
import type { RolloutAnswer, RolloutWork } from './types.js';

/** An answer this many times slower than usual on the old version is as bad as a failure. */
const SLOW_FACTOR = 4;

/**
 * A slow answer is weaker evidence than a failure: one long prompt holds up all requests behind it at its
 * upstream, whatever the version. With a weight of 1 three answers behind one prompt rolled a good version
 * back in six of eleven plays of calm days; with this it takes six answers.
 */
const SLOW_WEIGHT = 0.5;

/** Short times vary by as much as this for reasons of their own. */
const SLOW_SLACK_MS = 250;
const TIME_SMOOTHING = 0.1;

/** Older answers fade: a version may turn bad late, or only under load. */
const MAX_ANSWERS = 80;

export type VersionRole = 'candidate' | 'present';

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

  /** Keyed by the upstream's data centre. */
  readonly #candidateAtFullShare = new Map<string, VersionCounts>();

  #isAtFullShare = false;

  /** Until an answer begins, by kind of work. */
  readonly #baselineMs = new Map<string, number>();

  /** For each byte of an answer from then on, by kind of work. */
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

  /** An answer that takes longer is slow; Infinity before the old version has answered. */
  getSlowMs(workKind: string): number {
    const baselineMs = this.#baselineMs.get(workKind) ?? Infinity;
    return baselineMs * SLOW_FACTOR + SLOW_SLACK_MS;
  }

  /** How long so many bytes may take after the answer has begun; Infinity as above. */
  getSlowBodyMs(workKind: string, bytes: number): number {
    const baselineMs = (this.#baselineMsPerByte.get(workKind) ?? Infinity) * bytes;
    return baselineMs * SLOW_FACTOR + SLOW_SLACK_MS;
  }

  /** An answer that was counted goes on too slowly. */
  countSlowBody(role: VersionRole, { dataCentre }: RolloutWork): void {
    this.#add(role, dataCentre, { answers: 0, bad: SLOW_WEIGHT });
  }

  /** Of a whole answer of the old version. */
  recordBodyRate(workKind: string, msPerByte: number): void {
    updateAverage(this.#baselineMsPerByte, workKind, msPerByte);
  }

  /** True when the answer was bad. */
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

  /** How bad it is, from 0 to 1. */
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

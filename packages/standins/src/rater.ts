/** Core of the service that rates answers: late, with gaps, sometimes down. */
import { createRandom, type Random } from '@snipehaven/common';
import { DEFAULT_RATING_DELAY_MS, LOCAL_CLIENT } from './constants.js';
import { FaultGate, type GateTruth } from './faultGate.js';
import {
  createQualityTable,
  type QualityOptions,
  type QualityTable,
  type Rating,
} from './quality.js';

export interface RaterOptions extends Omit<QualityOptions, 'seed'> {
  /** Seeds the quality table. */
  readonly seed?: number | undefined;
  /** How late scores are published, plus up to the spread. */
  readonly ratingDelayMs?: number | undefined;
  readonly ratingDelaySpreadMs?: number | undefined;
  /** The share of scores that are never published; their numbers stay free. */
  readonly ratingLossRate?: number | undefined;
  readonly random?: Random | undefined;
}

/** A published score. */
export interface RatedScore {
  readonly seq: number;
  readonly id: string;
  readonly team: string;
  readonly task: string;
  readonly version: string;
  readonly score: number;
}

export interface RatingPage {
  readonly ratings: readonly RatedScore[];
  readonly lastSeq: number;
}

export interface RaterTruth {
  readonly gate: GateTruth;
  readonly submitted: number;
  readonly published: number;
  readonly lost: number;
  readonly ratedInline: number;
  /** The true mean score of what was rated, by `version task`, and how many. */
  readonly scores: Readonly<Record<string, { readonly count: number; readonly mean: number }>>;
}

interface PendingScore {
  readonly dueMs: number;
  readonly isLost: boolean;
  readonly rated: Omit<RatedScore, 'seq'>;
}

interface ScoreSum {
  count: number;
  sum: number;
}

const MAX_PUBLISHED = 200_000;

/** The rater, usable in-process; all calls pass the fault gate. */
export class RaterCore {
  readonly gate: FaultGate;

  readonly quality: QualityTable;

  readonly #random: Random;

  #delayMs: number;

  #delaySpreadMs: number;

  #lossRate: number;

  #pending: PendingScore[] = [];

  #published: RatedScore[] = [];

  readonly #sums = new Map<string, ScoreSum>();

  #lastSeq = 0;

  #submitted = 0;

  #lost = 0;

  #ratedInline = 0;

  constructor(options: RaterOptions = {}) {
    this.#random = options.random ?? createRandom(1);
    this.gate = new FaultGate(this.#random);
    this.quality = createQualityTable({ ...options, seed: options.seed ?? 1 });
    this.#delayMs = options.ratingDelayMs ?? DEFAULT_RATING_DELAY_MS;
    this.#delaySpreadMs = options.ratingDelaySpreadMs ?? 0;
    this.#lossRate = options.ratingLossRate ?? 0;
  }

  /** Takes answers to be rated later. */
  submit(ratings: readonly Rating[], client: string = LOCAL_CLIENT): Promise<void> {
    return this.gate.run(client, () => {
      this.#publishDue();
      ratings.forEach((rating) => this.#addPending(rating));
      this.#pending.sort((a, b) => a.dueMs - b.dueMs);
    });
  }

  /** Rates an answer at once. */
  rate(rating: Rating, client: string = LOCAL_CLIENT): Promise<number> {
    return this.gate.run(client, () => {
      this.#ratedInline += 1;
      return this.#score(rating);
    });
  }

  /** Published scores above the number. */
  list(afterSeq: number, limit: number, client: string = LOCAL_CLIENT): Promise<RatingPage> {
    return this.gate.run(client, () => {
      this.#publishDue();
      const ratings = this.#published.filter(({ seq }) => seq > afterSeq).slice(0, limit);
      return { ratings, lastSeq: this.#lastSeq };
    });
  }

  setDelays(delayMs: number, delaySpreadMs: number): void {
    this.#delayMs = delayMs;
    this.#delaySpreadMs = delaySpreadMs;
  }

  setLossRate(lossRate: number): void {
    this.#lossRate = lossRate;
  }

  getTruth(): RaterTruth {
    this.#publishDue();
    const scores = [...this.#sums].map(
      ([key, { count, sum }]) => [key, { count, mean: sum / count }] as const,
    );
    return {
      gate: this.gate.getTruth(),
      submitted: this.#submitted,
      published: this.#lastSeq - this.#lost,
      lost: this.#lost,
      ratedInline: this.#ratedInline,
      scores: Object.fromEntries(scores),
    };
  }

  #score(rating: Rating): number {
    const score = this.quality.getScore(rating);
    const key = `${rating.version} ${rating.task}`;
    const total = this.#sums.get(key) ?? { count: 0, sum: 0 };
    total.count += 1;
    total.sum += score;
    this.#sums.set(key, total);
    return score;
  }

  #addPending(rating: Rating): void {
    const { id, team, task, version } = rating;
    this.#submitted += 1;
    this.#pending.push({
      dueMs: Date.now() + this.#delayMs + this.#random.next() * this.#delaySpreadMs,
      isLost: this.#random.next() < this.#lossRate,
      rated: { id, team, task, version, score: this.#score(rating) },
    });
  }

  /** Needs no timer: scores that are due are numbered when somebody asks. */
  #publishDue(): void {
    const nowMs = Date.now();
    const firstLater = this.#pending.findIndex(({ dueMs }) => dueMs > nowMs);
    const due = this.#pending.splice(0, firstLater < 0 ? this.#pending.length : firstLater);
    due.forEach((pending) => this.#publish(pending));
    if (this.#published.length > 2 * MAX_PUBLISHED) {
      this.#published = this.#published.slice(-MAX_PUBLISHED);
    }
  }

  #publish({ isLost, rated }: PendingScore): void {
    this.#lastSeq += 1;
    if (isLost) {
      this.#lost += 1;
      return;
    }
    this.#published.push({ seq: this.#lastSeq, ...rated });
  }
}

/** Estimates how fast a service's upstreams process work, from the time until answers start. */

/** Sums over started answers: the work up to the start, and the time it took. */
export interface PaceSum {
  readonly work: number;
  readonly tookMs: number;
  readonly answers: number;
  /** Sums of each answer's squared work, and of its work times its duration in ms. */
  readonly workSquares: number;
  readonly workTimes: number;
}

/**
 * Linear model of the time until an answer starts: a constant part plus a time per unit of work.
 */
interface StartTimeModel {
  readonly baseMs: number;
  readonly msPerWork: number;
}

/** Decay per answer: about the last fifty answers dominate. */
const DECAY_FACTOR = 0.98;

/** Prior before anything is learned: one answer without work ahead and one of a slow engine. */
const PRIOR_BASE_MS = 30;
const PRIOR_WORK = 2_000;
const PRIOR_WORK_MS = 130;

/**
 * If the variance of the work is below this fraction of its squares, the time per unit cannot be
 * estimated.
 */
const MIN_RELATIVE_SPREAD = 0.01;

const EMPTY_SUMS: PaceSum = { work: 0, tookMs: 0, answers: 0, workSquares: 0, workTimes: 0 };

const addAnswer = (sum: PaceSum, work: number, tookMs: number, share = 1): PaceSum => ({
  work: sum.work + share * work,
  tookMs: sum.tookMs + share * tookMs,
  answers: sum.answers + share,
  workSquares: sum.workSquares + share * work * work,
  workTimes: sum.workTimes + share * work * tookMs,
});

export const addPaces = (a: PaceSum, b: PaceSum): PaceSum => ({
  work: a.work + b.work,
  tookMs: a.tookMs + b.tookMs,
  answers: a.answers + b.answers,
  workSquares: a.workSquares + b.workSquares,
  workTimes: a.workTimes + b.workTimes,
});

const decay = (sum: PaceSum): PaceSum => ({
  work: sum.work * DECAY_FACTOR,
  tookMs: sum.tookMs * DECAY_FACTOR,
  answers: sum.answers * DECAY_FACTOR,
  workSquares: sum.workSquares * DECAY_FACTOR,
  workTimes: sum.workTimes * DECAY_FACTOR,
});

/**
 * Fits the line by least squares. If it has no positive slope or a negative intercept, it is
 * replaced by the line through the origin.
 */
const fitLine = ({ work, tookMs, answers, workSquares, workTimes }: PaceSum): StartTimeModel => {
  const spread = answers * workSquares - work * work;
  const msPerWork = (answers * workTimes - work * tookMs) / spread;
  const baseMs = (tookMs - msPerWork * work) / answers;
  const isLine =
    spread > MIN_RELATIVE_SPREAD * answers * workSquares && msPerWork > 0 && baseMs >= 0;
  return isLine ? { baseMs, msPerWork } : { baseMs: 0, msPerWork: tookMs / work };
};

export class WorkPace {
  readonly #getOthers: () => PaceSum | undefined;

  /** Remaining weight of the prior. */
  #priorWeight = 1;

  #own: PaceSum = EMPTY_SUMS;

  /**
   * `getOthers` returns the sums of other daemons. A daemon that only knows its own answers
   * overestimates the duration of long prompts until it has seen some, which takes long in a large
   * fleet.
   */
  constructor(getOthers: () => PaceSum | undefined = () => undefined) {
    this.#getOthers = getOthers;
  }

  /** Sums of this daemon's own answers. */
  get own(): PaceSum {
    return this.#own;
  }

  /** Records an answer that started after the given time and had this much work ahead of it. */
  recordAnswer(work: number, tookMs: number): void {
    this.#own = addAnswer(decay(this.#own), work, Math.max(1, tookMs));
    this.#priorWeight *= DECAY_FACTOR;
  }

  /** Returns the work that is processed in this time. */
  estimateWork(ms: number): number {
    return ms / this.#model.msPerWork;
  }

  /** Returns the time to process work of this size, once it has started. */
  estimateMs(work: number): number {
    return work * this.#model.msPerWork;
  }

  /** Returns the time until an answer starts that has this much work ahead. */
  estimateStartMs(work: number): number {
    const { baseMs, msPerWork } = this.#model;
    return baseMs + work * msPerWork;
  }

  /**
   * Not the mean rate of all answers: most are short, and their delay is not caused by their work.
   * By the mean rate, a long prompt or a backlog would seem to take several times as long as it
   * does.
   */
  get #model(): StartTimeModel {
    const known = addPaces(this.#own, this.#getOthers() ?? EMPTY_SUMS);
    const withPrior = addAnswer(known, 0, PRIOR_BASE_MS, this.#priorWeight);
    return fitLine(addAnswer(withPrior, PRIOR_WORK, PRIOR_WORK_MS, this.#priorWeight));
  }
}

/** What the holder of a roll-out knows at a tick: late outcomes and ratings, by stratum and daemon. */
import type { Random } from '@snipehaven/common';
import { createEmptyCounts, getScoreBin, type OutcomeCounts } from '@snipehaven/policy';
import type { DrawnAnswer } from './answerModel.js';
import { TickBuckets } from './tickBuckets.js';

/** Counts that grow in place, for millions of answers pass through a run. */
type MutableCounts = { -readonly [Key in keyof OutcomeCounts]: OutcomeCounts[Key] } & {
  scoreCounts: number[];
};

interface EndedAnswer {
  readonly answer: DrawnAnswer;
  readonly stratum: number;
  readonly daemon: number;
}

/** Ticks are seconds. */
const ANSWER_TICKS = [2, 10] as const;
const RATING_TICKS = [5, 60] as const;
const REPORT_TICKS = 2;
const GAP_SHARE = 0.05;
/** A rating that has not come by then is passed by. */
const GAP_KNOWN_TICKS = 90;

const createMutableCounts = (): MutableCounts => {
  const counts = createEmptyCounts();
  return { ...counts, scoreCounts: [...counts.scoreCounts] };
};

const drawTicks = ([least, most]: readonly [number, number], random: Random): number =>
  least + random.nextInt(most - least + 1);

/** Counts an end of an answer, rating aside. */
const countEnd = (counts: MutableCounts, answer: DrawnAnswer): void => {
  counts.answerCount += 1;
  counts.errorCount += answer.end === 'error' ? 1 : 0;
  counts.emptyCount += answer.end === 'empty' ? 1 : 0;
  counts.slowCount += answer.isSlow ? 1 : 0;
};

/** Counts a rating. */
const countRating = (counts: MutableCounts, score: number): void => {
  const bin = getScoreBin(score);
  counts.scoreCounts[bin] = (counts.scoreCounts[bin] ?? 0) + 1;
};

/** Knows the candidate's outcomes as late as the holder would. */
export class CandidateLedger {
  readonly counts: readonly MutableCounts[];

  /** Answers with a known outcome, by daemon. */
  readonly judged: number[];

  #ratingCount = 0;

  readonly #ended = new TickBuckets<EndedAnswer>();

  readonly #rated = new TickBuckets<EndedAnswer>();

  readonly #passedBy = new TickBuckets<number>();

  constructor(stratumCount: number, daemonCount: number) {
    this.counts = Array.from({ length: stratumCount }, createMutableCounts);
    this.judged = new Array<number>(daemonCount).fill(0);
  }

  get ratingCount(): number {
    return this.#ratingCount;
  }

  /** An answer started now; a gated one is rated in line. */
  start(
    answer: DrawnAnswer,
    stratum: number,
    daemon: number,
    isGated: boolean,
    tick: number,
    random: Random,
  ): void {
    const endedTick = tick + drawTicks(ANSWER_TICKS, random) + REPORT_TICKS;
    const ended = { answer, stratum, daemon };
    this.#ended.add(endedTick, ended);
    if (isGated) {
      this.#rated.add(endedTick + 1, ended);
    } else if (random.next() < GAP_SHARE) {
      this.#passedBy.add(endedTick + GAP_KNOWN_TICKS, daemon);
    } else {
      this.#rated.add(endedTick + drawTicks(RATING_TICKS, random), ended);
    }
  }

  /** Takes in what becomes known at the tick. */
  advance(tick: number): void {
    this.#ended.take(tick).forEach(({ answer, stratum }) => {
      countEnd(this.counts[stratum]!, answer);
    });
    this.#rated.take(tick).forEach(({ answer, stratum, daemon }) => {
      countRating(this.counts[stratum]!, answer.score);
      this.judged[daemon] = (this.judged[daemon] ?? 0) + 1;
      this.#ratingCount += 1;
    });
    this.#passedBy.take(tick).forEach((daemon) => {
      this.judged[daemon] = (this.judged[daemon] ?? 0) + 1;
    });
  }
}

/** The stable version's counts, drawn as if so many answers had been rated. */
export const addStableAnswers = (counts: MutableCounts, answers: readonly DrawnAnswer[]): void =>
  answers.forEach((answer) => {
    countEnd(counts, answer);
    countRating(counts, answer.score);
  });

/** Counts of a stratum of the stable version. */
export const createStableCounts = createMutableCounts;

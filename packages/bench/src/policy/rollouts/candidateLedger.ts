/** What the holder of a roll-out knows at a tick: late outcomes and ratings, by stratum and daemon. */
import type { Random } from '@snipehaven/common';
import {
  emptyBins,
  emptyPairCounts,
  getPairBin,
  getScoreBin,
  type OutcomeCounts,
} from '@snipehaven/policy';
import type { DrawnAnswer } from './answerModel.js';
import { TickBuckets } from './tickBuckets.js';

/** Counts that grow in place, for millions of answers pass through a run. */
export class GrowingCounts implements OutcomeCounts {
  readonly scoreCounts: number[] = emptyBins();

  answerCount = 0;

  errorCount = 0;

  emptyCount = 0;

  readonly cutCount = 0;

  slowCount = 0;

  /** Counts the end of an answer, rating aside. */
  countEnd(answer: DrawnAnswer): void {
    this.answerCount += 1;
    this.errorCount += answer.end === 'error' ? 1 : 0;
    this.emptyCount += answer.end === 'empty' ? 1 : 0;
    this.slowCount += answer.isSlow ? 1 : 0;
  }

  /** Counts a rating. */
  countRating(score: number): void {
    const bin = getScoreBin(score);
    this.scoreCounts[bin] = (this.scoreCounts[bin] ?? 0) + 1;
  }
}

interface EndedAnswer {
  readonly answer: DrawnAnswer;
  readonly stratum: number;
  readonly daemon: number;
}

interface RatedPair {
  readonly answer: DrawnAnswer;
  readonly stableAnswer: DrawnAnswer;
  readonly stratum: number;
}

/** Ticks are seconds. */
const ANSWER_TICKS = [2, 10] as const;
const RATING_TICKS = [5, 60] as const;
const REPORT_TICKS = 2;
const GAP_SHARE = 0.05;
/** A rating that has not come by then is passed by. */
const GAP_KNOWN_TICKS = 90;

const drawTicks = ([least, most]: readonly [number, number], random: Random): number =>
  least + random.nextInt(most - least + 1);

/** Knows the candidate's outcomes as late as the holder would. */
export class CandidateLedger {
  readonly counts: readonly GrowingCounts[];

  /** Answers with a known outcome, by daemon. */
  readonly judged: number[];

  readonly pairCounts: number[] = emptyPairCounts();

  #ratingCount = 0;

  #shadowCount = 0;

  readonly #pairs = new TickBuckets<RatedPair>();

  readonly #ended = new TickBuckets<EndedAnswer>();

  readonly #rated = new TickBuckets<EndedAnswer>();

  readonly #passedBy = new TickBuckets<number>();

  constructor(stratumCount: number, daemonCount: number) {
    this.counts = Array.from({ length: stratumCount }, () => new GrowingCounts());
    this.judged = new Array<number>(daemonCount).fill(0);
  }

  /** Answers that nobody saw. */
  get shadowCount(): number {
    return this.#shadowCount;
  }

  get ratingCount(): number {
    return this.#ratingCount;
  }

  /** An answer to a caller started now. */
  start(answer: DrawnAnswer, stratum: number, daemon: number, tick: number, random: Random): void {
    const endedTick = tick + drawTicks(ANSWER_TICKS, random) + REPORT_TICKS;
    const ended = { answer, stratum, daemon };
    this.#ended.add(endedTick, ended);
    if (random.next() < GAP_SHARE) {
      this.#passedBy.add(endedTick + GAP_KNOWN_TICKS, daemon);
    } else {
      this.#rated.add(endedTick + drawTicks(RATING_TICKS, random), ended);
    }
  }

  /** An answer in the shadow started now, beside the stable version's answer to the same prompt. */
  startShadow(
    answer: DrawnAnswer,
    stableAnswer: DrawnAnswer,
    stratum: number,
    tick: number,
    random: Random,
  ): void {
    const endedTick = tick + drawTicks(ANSWER_TICKS, random) + REPORT_TICKS;
    this.#shadowCount += 1;
    this.#ended.add(endedTick, { answer, stratum, daemon: 0 });
    const isLost = random.next() < GAP_SHARE || random.next() < GAP_SHARE;
    if (!isLost) {
      const pair = { answer, stableAnswer, stratum };
      this.#pairs.add(endedTick + drawTicks(RATING_TICKS, random), pair);
    }
  }

  /** Takes in what becomes known at the tick. */
  advance(tick: number): void {
    this.#ended.take(tick).forEach(({ answer, stratum }) => {
      this.counts[stratum]!.countEnd(answer);
    });
    this.#rated.take(tick).forEach(({ answer, stratum, daemon }) => {
      this.counts[stratum]!.countRating(answer.score);
      this.judged[daemon] = (this.judged[daemon] ?? 0) + 1;
      this.#ratingCount += 1;
    });
    this.#pairs.take(tick).forEach(({ answer, stableAnswer, stratum }) => {
      this.counts[stratum]!.countRating(answer.score);
      this.#ratingCount += 1;
      const bin = getPairBin(stableAnswer.score, answer.score);
      this.pairCounts[bin] = (this.pairCounts[bin] ?? 0) + 1;
    });
    this.#passedBy.take(tick).forEach((daemon) => {
      this.judged[daemon] = (this.judged[daemon] ?? 0) + 1;
    });
  }
}

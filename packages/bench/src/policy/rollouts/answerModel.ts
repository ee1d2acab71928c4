/** Models of a candidate's and the stable version's answers. */
import type { Random } from '@snipehaven/common';
import type { AnswerEnd } from '@snipehaven/policy';

/** The quality of one version. */
export interface AnswerModel {
  /** Mean chance of a bad answer in each stratum; a prompt's own chance lies around it. */
  readonly badShares: readonly number[];
  readonly errorShare: number;
  readonly emptyShare: number;
  /** Chance of being slower than nine of ten answers of the stable version. */
  readonly slowShare: number;
}

/** One answer as it turns out. */
export interface DrawnAnswer {
  readonly end: AnswerEnd;
  readonly isSlow: boolean;
  readonly score: number;
}

const STABLE: AnswerModel = {
  badShares: [0.06, 0.14],
  errorShare: 0.002,
  emptyShare: 0.001,
  slowShare: 0.1,
};

/** The version that answers before the roll-out. */
export const stableModel = STABLE;

/** Kinds of candidates. */
export type CandidateKind = 'gross' | 'moderate' | 'subtle' | 'slow' | 'good';

const POINTS_WORSE = 0.1;
const TENTH_MORE = 1.1;

/**
 * `subtle` fails a tenth more often than the stable version; `moderate` fails on a tenth of all
 * answers more.
 */
export const candidateModels: Readonly<Record<CandidateKind, AnswerModel>> = {
  gross: { ...STABLE, badShares: [0.5, 0.6], errorShare: 0.03, emptyShare: 0.05 },
  moderate: { ...STABLE, badShares: STABLE.badShares.map((share) => share + POINTS_WORSE) },
  subtle: { ...STABLE, badShares: STABLE.badShares.map((share) => share * TENTH_MORE) },
  slow: { ...STABLE, slowShare: 0.45 },
  good: STABLE,
};

const drawEnd = (model: AnswerModel, random: Random): AnswerEnd => {
  const value = random.next();
  if (value < model.errorShare) {
    return 'error';
  }
  return value < model.errorShare + model.emptyShare ? 'empty' : 'complete';
};

const GOOD_FLOOR = 0.75;
const BAD_CEILING = 0.55;

/** A prompt: hard ones are hard for every version. */
export interface RolloutPrompt {
  readonly stratum: number;
  /** The chance of a bad answer is the stratum's mean times this. */
  readonly hardness: number;
}

const HARD_SHARE = 0.2;
const HARD_FACTOR = 3;
const EASY_FACTOR = (1 - HARD_SHARE * HARD_FACTOR) / (1 - HARD_SHARE);

/** Draws a prompt of a stratum; its hardness is 1 on average. */
export const drawRolloutPrompt = (stratum: number, random: Random): RolloutPrompt => ({
  stratum,
  hardness: random.next() < HARD_SHARE ? HARD_FACTOR : EASY_FACTOR,
});

const drawAnswerScore = (model: AnswerModel, prompt: RolloutPrompt, random: Random): number =>
  random.next() < (model.badShares[prompt.stratum] ?? 0) * prompt.hardness
    ? BAD_CEILING * random.next()
    : GOOD_FLOOR + (1 - GOOD_FLOOR) * Math.sqrt(random.next());

/** Draws one answer. */
export const drawAnswer = (
  model: AnswerModel,
  prompt: RolloutPrompt,
  random: Random,
): DrawnAnswer => {
  const end = drawEnd(model, random);
  const isSlow = random.next() < model.slowShare;
  return { end, isSlow, score: end === 'complete' ? drawAnswerScore(model, prompt, random) : 0 };
};

/** Models of versions: prices, speed, and how good their answers are. */
import { asId, type Random, type VersionId } from '@snipehaven/common';

/** A version as the world knows it; the policies see only prices, speeds and ratings. */
export interface VersionModel {
  readonly version: VersionId;
  readonly inputMicroUsdPerMillionTokens: number;
  readonly outputMicroUsdPerMillionTokens: number;
  /** Difficulty at which half of the answers are good. */
  readonly skill: number;
  readonly firstTokenMs: number;
  readonly prefillMsPerToken: number;
  readonly msPerToken: number;
  /** Requests that the version's engines run at a time. */
  readonly slots: number;
  /** Chances of answers that end badly. */
  readonly errorShare: number;
  readonly emptyShare: number;
}

/** Changes of the world during a run. */
export interface VersionFault {
  readonly version: VersionId;
  readonly fromMs: number;
  readonly skillLoss: number;
}

const createVersion = (
  name: string,
  prices: readonly [number, number],
  skill: number,
  speed: readonly [number, number, number],
  slots: number,
): VersionModel => ({
  version: asId<VersionId>(`${name}@1`),
  inputMicroUsdPerMillionTokens: prices[0],
  outputMicroUsdPerMillionTokens: prices[1],
  skill,
  firstTokenMs: speed[0],
  prefillMsPerToken: speed[1],
  msPerToken: speed[2],
  slots,
  errorShare: 0.002,
  emptyShare: 0.001,
});

/** Four models whose prices span a factor of 25, as those of large vendors do. */
export const versionModels: readonly VersionModel[] = [
  createVersion('nano', [100_000, 400_000], 0.55, [80, 0.02, 6], 32),
  createVersion('small', [400_000, 1_600_000], 0.95, [120, 0.04, 9], 32),
  createVersion('medium', [1_000_000, 4_000_000], 1.5, [200, 0.08, 15], 24),
  createVersion('large', [2_500_000, 10_000_000], 2.2, [350, 0.15, 25], 24),
];

/** How sharply the chance of a good answer falls with the difficulty. */
const SHARPNESS = 3;

/** Chance of a good answer. */
export const getGoodShare = (skill: number, difficulty: number): number =>
  1 / (1 + Math.exp(-SHARPNESS * (skill - difficulty)));

const GOOD_SCORE_FLOOR = 0.75;
const BAD_SCORE_CEILING = 0.55;

/** Draws an answer's score: what the rater says of it, if asked. */
export const drawScore = (skill: number, difficulty: number, random: Random): number =>
  random.next() < getGoodShare(skill, difficulty)
    ? GOOD_SCORE_FLOOR + (1 - GOOD_SCORE_FLOOR) * Math.sqrt(random.next())
    : BAD_SCORE_CEILING * random.next();

/** The hidden quality of versions at tasks, which the rater measures with noise. */
import { createHash } from 'node:crypto';
import { GROSS_TOKEN, SUBTLE_MARK } from './answers.js';

export interface QualityOptions {
  readonly seed: number;
  /** Mean scores by version and task; task `*` stands for all others. Unset ones are drawn. */
  readonly means?: Readonly<Record<string, Readonly<Record<string, number>>>> | undefined;
  /** How far a prompt's difficulty moves its score either way, for all versions alike. */
  readonly difficultySpread?: number | undefined;
  /** How far a single score strays either way. */
  readonly noise?: number | undefined;
  /** What a subtly bad answer loses. */
  readonly subtleLoss?: number | undefined;
}

/** An answer to be rated. */
export interface Rating {
  readonly id: string;
  readonly team: string;
  readonly task: string;
  readonly version: string;
  readonly prompt: string;
  readonly answer: string;
}

export interface QualityTable {
  /** The mean score of a version's good answers to a task. */
  getMean(version: string, task: string): number;
  /** The score of one answer, always the same. */
  getScore(rating: Rating): number;
}

const DEFAULT_DIFFICULTY_SPREAD = 0.1;
const DEFAULT_NOISE = 0.05;
const DEFAULT_SUBTLE_LOSS = 0.3;
const DRAWN_MEAN_LOW = 0.6;
const DRAWN_MEAN_SPREAD = 0.35;
const GROSS_SCORE = 0.02;
const ANY_TASK = '*';
const HASH_BYTES = 6;

const clamp = (score: number): number => Math.min(1, Math.max(0, score));

/** A number in [0, 1) fixed by the parts. */
const draw = (...parts: readonly (string | number)[]): number =>
  createHash('sha256').update(parts.join('\u0000')).digest().readUIntBE(0, HASH_BYTES) /
  2 ** (HASH_BYTES * 8);

const drawAround = (spread: number, ...parts: readonly (string | number)[]): number =>
  (2 * draw(...parts) - 1) * spread;

const isGross = (answer: string): boolean => answer === '' || answer.startsWith(GROSS_TOKEN);

/** The quality table of one seed. */
export const createQualityTable = (options: QualityOptions): QualityTable => {
  const { seed, means = {} } = options;
  const difficultySpread = options.difficultySpread ?? DEFAULT_DIFFICULTY_SPREAD;
  const noise = options.noise ?? DEFAULT_NOISE;
  const subtleLoss = options.subtleLoss ?? DEFAULT_SUBTLE_LOSS;

  const getMean = (version: string, task: string): number =>
    means[version]?.[task] ??
    means[version]?.[ANY_TASK] ??
    DRAWN_MEAN_LOW + DRAWN_MEAN_SPREAD * draw(seed, version, task);

  const getScore = ({ id, task, version, prompt, answer }: Rating): number => {
    if (isGross(answer)) {
      return GROSS_SCORE;
    }
    const difficulty = drawAround(difficultySpread, seed, 'prompt', task, prompt);
    const stray = drawAround(noise, seed, 'noise', id, version);
    const loss = answer.includes(SUBTLE_MARK) ? subtleLoss : 0;
    return clamp(getMean(version, task) + difficulty + stray - loss);
  };

  return { getMean, getScore };
};

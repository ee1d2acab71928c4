/** Earlier decision tables of ours, kept so that each round can be compared with the last ones. */
import type { ChoiceSettings } from '@snipehaven/policy';

/** One round's settings. */
export interface ChoiceRound {
  readonly name: string;
  readonly settings: ChoiceSettings;
}

/** Round 0: the first version. */
const round0: ChoiceSettings = {
  confidence: 0.9,
  strictConfidence: 0.99,
  minProvenWeight: 30,
  explorationMode: 'cascade',
  explorationShare: 0.05,
  explorationCostShare: 100,
  sufficientWeight: 0,
  explorationAcceptScore: 0.85,
  latencyScaleMs: 60_000,
  ratingShare: 0.02,
  ratingCostShare: 0,
  unprovenRatingShare: 0.2,
  wellProvenWeight: 200,
  escalationCorrelation: 0.5,
  escalationPriorWeight: 8,
};

/** Round 1: exploration in the shadow. */
const round1: ChoiceSettings = {
  ...round0,
  explorationMode: 'shadow',
  explorationShare: 0.1,
  sufficientWeight: 200,
};

/** Round 2: less confidence, more exploration. */
const round2: ChoiceSettings = {
  ...round1,
  confidence: 0.7,
  strictConfidence: 0.9,
  explorationShare: 0.3,
  sufficientWeight: 400,
  escalationPriorWeight: 20,
};

/** All earlier rounds, oldest first. */
export const choiceRounds: readonly ChoiceRound[] = [
  { name: 'ours-r0', settings: round0 },
  { name: 'ours-r1', settings: round1 },
  { name: 'ours-r2', settings: round2 },
];

/** The round before the settings in force; compared with them in every run. */
export const lastChoiceRounds: readonly ChoiceRound[] = choiceRounds.slice(-1);

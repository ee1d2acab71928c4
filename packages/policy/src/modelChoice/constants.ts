/** Default settings of the model choice. */
import type { ChoiceSettings } from './types.js';

/** The settings in force. The bench keeps earlier ones. */
export const defaultChoiceSettings: ChoiceSettings = {
  confidence: 0.7,
  strictConfidence: 0.8,
  minProvenWeight: 30,
  explorationMode: 'shadow',
  explorationShare: 0.3,
  explorationCostShare: 0.08,
  sufficientWeight: 400,
  explorationAcceptScore: 0.85,
  latencyScaleMs: 60_000,
  ratingShare: 0.02,
  ratingCostShare: 0.04,
  unprovenRatingShare: 0.2,
  wellProvenWeight: 200,
  escalationCorrelation: 0.5,
  escalationPriorWeight: 20,
};

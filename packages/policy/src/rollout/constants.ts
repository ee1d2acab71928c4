/** Default settings of roll-outs. */
import type { RolloutSettings } from './types.js';

/** The settings in force. The bench keeps earlier ones. */
export const defaultRolloutSettings: RolloutSettings = {
  quarantineAlpha: 0.01,
  advanceAlpha: 0.1,
  stableBoundZ: 3,
  answersPerDaemonGrant: 4,
  budgetGrowth: 0.5,
  maxDaemonSharePct: 50,
  shadowSharePct: 20,
  shadowAlpha: 0.1,
  minShadowPairs: 100,
};

/** Settings of roll-outs. */
import type { RolloutSettings } from './types.js';

/** Settings in force. Earlier ones are kept by the bench. */
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

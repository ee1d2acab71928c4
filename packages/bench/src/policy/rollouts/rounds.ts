/** Earlier decision tables of our roll-outs, kept so that rounds can be compared. */
import type { RolloutSettings } from '@snipehaven/policy';

/** One round's settings. */
export interface RolloutRound {
  readonly name: string;
  readonly settings: RolloutSettings;
}

/** Round 0: the first version. */
const round0: RolloutSettings = {
  quarantineAlpha: 0.01,
  advanceAlpha: 0.1,
  stableBoundZ: 1,
  answersPerDaemonGrant: 4,
  budgetGrowth: 0.5,
  maxDaemonSharePct: 50,
  shadowSharePct: 0,
  shadowAlpha: 0.1,
  minShadowPairs: 100,
};

/** All earlier rounds, oldest first. */
export const rolloutRounds: readonly RolloutRound[] = [{ name: 'ours-r0', settings: round0 }];

/** The round before the settings in force; compared with them in every run. */
export const lastRolloutRounds: readonly RolloutRound[] = rolloutRounds.slice(-1);

/** Shared fixtures of the roll-out tests. */
import { asId, type VersionId } from '@snipehaven/common';
import type { RolloutDefinition } from './types.js';

/** Creates a roll-out with three stages. */
export const createDefinition = (changes: Partial<RolloutDefinition> = {}): RolloutDefinition => ({
  rolloutId: 'r#1',
  stableVersion: asId<VersionId>('m@1'),
  candidateVersion: asId<VersionId>('m@2'),
  stages: [1, 25, 100].map((sharePct) => ({ sharePct, minRatings: 20 })),
  exposureBudget: 20,
  maxFailureIncreasePct: 5,
  isPaused: false,
  ...changes,
});

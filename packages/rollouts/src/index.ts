export * from './constants.js';
export * from './errors.js';
export * from './rollout/grantedRolloutAssigner.js';
export * from './rollout/rolloutRunner.js';
export * from './rolloutSystem.js';
export * from './sharedEvidenceStore.js';
export * from './types.js';

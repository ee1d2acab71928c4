export { RolloutGuide } from './rolloutGuide.js';
export { RolloutKeeper } from './rolloutKeeper.js';
export type * from './types.js';

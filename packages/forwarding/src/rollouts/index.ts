export { RolloutTracker } from './rolloutTracker.js';
export { RolloutKeeper } from './rolloutKeeper.js';
export type { AwaitedAnswer } from './answerTimes.js';
export type * from './types.js';

export { CrashTracker, type CrashSource, type CrashListener } from './crashTracker.js';
export { HoldPersister } from './holdPersister.js';
export { digestRequest, digestSharedParts, type DigestedRequest } from './requestDigest.js';
export type * from './types.js';

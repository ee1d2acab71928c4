export { CrashBook, type CrashSource, type CrashListener } from './crashBook.js';
export { HoldKeeper } from './holdKeeper.js';
export { digestRequest, type DigestedRequest } from './requestDigest.js';
export type * from './types.js';

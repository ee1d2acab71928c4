export { CrashBook } from './crashBook.js';
export { digestRequest, type DigestedRequest } from './requestDigest.js';
export type * from './types.js';

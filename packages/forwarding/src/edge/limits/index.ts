export { BodyMemory, type HeldBody } from './bodyMemory.js';
export { findCallerConnection, type CallerConnections } from './callerConnections.js';
export * from './constants.js';
export { createBoundedServer } from './createBoundedServer.js';
export { findCallerLimits } from './findCallerLimits.js';
export { LimitReporter, type CountLimited } from './limitReporter.js';
export { lingerOn, skipRest } from './lingering.js';
export { ReadingTurns } from './readingTurns.js';
export type { CallerLimit, CallerLimits, ProcessLimits } from './types.js';

export * from './hybridClock.js';
export * from './timeline.js';
export * from './types.js';

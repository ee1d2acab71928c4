export * from './chooseSuspectUpstream.js';
export * from './crashCounter.js';
export * from './judgeSuspicion.js';
export * from './partPresence.js';
export * from './suspectTuple.js';
export type * from './types.js';

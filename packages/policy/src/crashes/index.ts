export * from './chooseSuspectPlace.js';
export * from './crashLedger.js';
export * from './judgeSuspicion.js';
export * from './suspectTuple.js';
export type * from './types.js';

export { playFleet } from './playFleet.js';
export type * from './types.js';

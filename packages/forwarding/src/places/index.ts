export { PlaceBorrower } from './placeBorrower.js';
export { PlaceLender } from './placeLender.js';
export type * from './types.js';

export { playCrashes } from './playCrashes.js';
export type * from './types.js';

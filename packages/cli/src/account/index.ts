export { buildAccount } from './buildAccount.js';
export { buildAccountPage, formatAccount } from './formatAccount.js';
export type * from './types.js';

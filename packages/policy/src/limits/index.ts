/**
 * Rate and concurrency limits, their division among daemons, and admission control under overload.
 */
export * from './chooseAdmission.js';
export { SHARE_FORGET_MS, SHARE_REQUEST_INTERVAL_MS, SHARE_TTL_MS } from './constants.js';
export * from './divideLimit.js';
export * from './getRetryAfterMs.js';
export * from './shareAllocator.js';
export * from './shareHolder.js';
export * from './takeTokens.js';
export * from './types.js';

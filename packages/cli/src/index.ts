export * from './exitCodes.js';
export * from './runSnipectl.js';
export * from './types.js';

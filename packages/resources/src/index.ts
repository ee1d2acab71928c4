export * from './constants.js';
export * from './errors.js';
export * from './kinds.js';
export * from './restore.js';
export * from './types.js';

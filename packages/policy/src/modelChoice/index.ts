export * from './constants.js';
export * from './planRequest.js';
export * from './types.js';

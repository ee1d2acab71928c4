export * from './errors.js';
export * from './operatorHandler.js';
export * from './types.js';

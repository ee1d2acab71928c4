export * from './errors.js';
export * from './httpClients.js';
export * from './types.js';

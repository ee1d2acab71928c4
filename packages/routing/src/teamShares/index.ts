/** Team limits shared by the daemons of a data centre. */
export * from './teamShares.js';
export * from './types.js';

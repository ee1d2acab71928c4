export * from './choosePin.js';
export * from './constants.js';
export * from './decideSessionVersion.js';
export * from './errors.js';
export * from './hmacSessionTokens.js';
export * from './replicatedPinDirectory.js';
export * from './types.js';

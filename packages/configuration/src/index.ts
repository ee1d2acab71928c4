export * from './configurationReplica.js';
export { DEFAULT_SETTINGS, type ConfigurationSettings } from './constants.js';
export * from './errors.js';
export * from './replicaState.js';
export * from './safeMoves/joinSafeMoves.js';
export * from './safeMoves/safeMoveRegistry.js';
export * from './types.js';
export { ReplicaView } from './view.js';
export * from './withdrawals.js';

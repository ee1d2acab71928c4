export * from './constants.js';
export * from './driftDetection.js';
export * from './eProcess.js';
export * from './evidenceCell.js';
export * from './evidencePool.js';
export * from './qualityBound.js';
export * from './scoreBins.js';
export * from './types.js';

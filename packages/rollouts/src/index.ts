export * from './localEvidenceBook.js';
export * from './stableAssigner.js';
export * from './types.js';

export * from './errors.js';
export { foldEntries, getEntryKey } from './foldEntries.js';
export * from './tableLedgerReader.js';
export * from './types.js';
export * from './usageCost.js';

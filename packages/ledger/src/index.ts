export * from './errors.js';
export { DEFAULT_LEDGER_SETTINGS } from './constants.js';
export { foldEntries, getEntryKey } from './foldEntries.js';
export * from './replicatedUsageLedger.js';
export * from './tableLedgerReader.js';
export * from './types.js';
export * from './usageCost.js';

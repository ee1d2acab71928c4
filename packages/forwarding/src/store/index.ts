export { StoreEra, isEra, isEraAge } from './storeEra.js';
export * from './storeRevision.js';
export type { KnownRow, RetainedRow, RetentionPolicy } from './rowRetention.js';
export { TableWatcher } from './tableWatcher.js';
export type { TableListener } from './tableWatcherOptions.js';
export type * from './types.js';

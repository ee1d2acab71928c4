export { StoreEra, isEra, isEraAge } from './storeEra.js';
export * from './storeRevision.js';
export {
  MAX_RETENTION_MS,
  type KnownRow,
  type RetainedRow,
  type RetentionPolicy,
} from './rowRetention.js';
export { TableWatcher } from './tableWatcher.js';
export type { TableListener } from './tableWatcherOptions.js';
export type * from './types.js';

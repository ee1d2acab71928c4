export { TableWatcher, type SnapshotSource, type TableListener } from './tableWatcher.js';
export type * from './types.js';

/** Stores the address of a daemon that reads the store, for starting daemons that reach no seed. */
import { getErrorMessage, sleep, type Logger } from '@snipehaven/common';
import type { Peer } from '../peers/index.js';
import type { RowStore } from '../store/index.js';
import type { PlatformAdapter } from './types.js';

/**
 * Interval of checks and retries. All daemons of a small fleet read for a moment when they start;
 * only those that continue announce themselves, because each row wakes all readers of the table.
 */
const CHECK_INTERVAL_MS = 1_500;

export interface AnnouncementOptions {
  readonly adapter: PlatformAdapter;
  readonly store: RowStore;
  readonly self: Peer;
  readonly logger: Logger;
  /** Aborted when the daemon stops. */
  readonly signal: AbortSignal;
  /** Whether this daemon is currently a reader of the store. */
  isReading(): boolean;
  /** The value that the store has for the key, as far as known. */
  findStored(key: string): string | undefined;
}

/** Resolves when the store has the row or the daemon stops. */
export const announcePeer = async ({
  adapter,
  store,
  self,
  logger,
  signal,
  isReading,
  findStored,
}: AnnouncementOptions): Promise<void> => {
  const row = { table: adapter.tables.status, ...adapter.renderPeer(self) };
  while (!signal.aborted) {
    await sleep(CHECK_INTERVAL_MS, signal);
    if (findStored(row.key) === row.value) {
      return;
    }
    if (!signal.aborted && isReading()) {
      try {
        await store.write(row);
        return;
      } catch (error) {
        logger.warn({ event: 'notAnnounced', cause: getErrorMessage(error) });
      }
    }
  }
};

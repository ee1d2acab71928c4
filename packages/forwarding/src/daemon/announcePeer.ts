/** Leaves word in the store where a daemon is that reads it, for those that start and reach no seed. */
import { getErrorMessage, sleep, type Logger } from '@snipehaven/common';
import type { Peer } from '../peers/index.js';
import type { RowStore } from '../store/index.js';
import type { PlatformAdapter } from './types.js';

/**
 * Between looks and tries. All daemons of a small fleet read for a moment as they start: only those
 * that go on leave word, as each row wakes all that read the table.
 */
const CHECK_MS = 1_500;

export interface Announcement {
  readonly adapter: PlatformAdapter;
  readonly store: RowStore;
  readonly self: Peer;
  readonly logger: Logger;
  /** Aborted when the daemon stops. */
  readonly signal: AbortSignal;
  /** Whether this daemon reads the store now. */
  isReading(): boolean;
}

/** Resolves once the store has taken the row, or the daemon stops. */
export const announcePeer = async ({
  adapter,
  store,
  self,
  logger,
  signal,
  isReading,
}: Announcement): Promise<void> => {
  const row = { table: adapter.tables.status, ...adapter.renderPeer(self) };
  while (!signal.aborted) {
    await sleep(CHECK_MS, signal);
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

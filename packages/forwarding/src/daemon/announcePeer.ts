/** Tells the other daemons where this one is. */
import { getErrorMessage, sleep, type Logger } from '@snipehaven/common';
import type { Peer } from '../peers/index.js';
import type { RowStore } from '../store/index.js';
import type { PlatformAdapter } from './types.js';

/** Between tries; until it is told, this daemon serves by what it sees itself. */
const RETRY_MS = 1_000;

/** Resolves once the store has taken the row. */
export const announcePeer = async (
  adapter: PlatformAdapter,
  store: RowStore,
  self: Peer,
  logger: Logger,
): Promise<void> => {
  const row = { table: adapter.tables.status, ...adapter.renderPeer(self) };
  for (;;) {
    try {
      await store.write(row);
      return;
    } catch (error) {
      logger.warn({ event: 'notAnnounced', cause: getErrorMessage(error) });
      await sleep(RETRY_MS);
    }
  }
};

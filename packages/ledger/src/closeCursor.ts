/** Closes a dead owner's ledger and writes the entries held by its peer in the same transaction. */
import { sleep } from '@snipehaven/common';
import type { TableClient } from '@snipehaven/platform';
import type { UsageEntry } from '@snipehaven/protocol';
import { createBatchTransaction, findCursor, getCursorKey } from './ledgerRows.js';
import { withTimeout } from './withTimeout.js';

export interface CursorClosing {
  readonly table: TableClient;
  readonly ledger: string;
  /** Written atomically with the closing. */
  readonly entries: readonly UsageEntry[];
  readonly closedBy: string;
  readonly token: string;
  readonly timeoutMs: number;
  /** Whether the owner has turned out to be alive. */
  readonly isOwnerAlive: () => boolean;
}

/** `closed`: the entries are durable. Otherwise the adopter writes them to its own ledger. */
export type CursorClosingResult = 'closed' | 'closedBefore' | 'ownerAlive' | 'failed';

const MAX_ATTEMPTS = 3;
const RETRY_MS = 500;

const tryToClose = async (closing: CursorClosing): Promise<CursorClosingResult> => {
  const { table, ledger, timeoutMs } = closing;
  const rows = await withTimeout(table.read([getCursorKey(ledger)]), timeoutMs, 'cursor');
  const at = findCursor(ledger, rows);
  if (at.cursor.state === 'closed') {
    return at.cursor.token === closing.token ? 'closed' : 'closedBefore';
  }
  if (closing.isOwnerAlive()) {
    return 'ownerAlive';
  }
  const transaction = createBatchTransaction({ ...closing, at });
  const [result] = await withTimeout(table.transact([transaction]), timeoutMs, 'closing');
  return result?.kind === 'committed' ? 'closed' : 'failed';
};

/**
 * Makes a few attempts, each of which reads the cursor again. Its token shows whether an attempt whose
 * reply was lost took effect, and its position how far an owner that was only paused has written.
 */
export const closeCursor = async (closing: CursorClosing): Promise<CursorClosingResult> => {
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
    try {
      const result = await tryToClose(closing);
      if (result !== 'failed') {
        return result;
      }
    } catch {
      await sleep(RETRY_MS);
    }
  }
  return 'failed';
};

/** Reads the whole ledger: table rows and batches spilled during outages, folded. */
import type { UsageEntry } from '@snipehaven/protocol';
import type { ObjectStoreClient, TableClient } from '@snipehaven/platform';
import { matchesQuery, sumBilling } from './billing.js';
import { LEDGER_PREFIX, SCAN_PAGE_ROWS } from './constants.js';
import { foldEntries } from './foldEntries.js';
import { restoreBatch } from './ledgerRows.js';
import { readSpills } from './readSpills.js';
import type { BillingQuery, BillingRow, LedgerReader } from './types.js';

export interface TableLedgerReaderOptions {
  readonly table: TableClient;
  readonly objectStore: ObjectStoreClient;
}

/**
 * Each call scans all batches, with one read per page of rows. There is no compaction, so the cost grows
 * with the ledger. Platform errors are thrown, since a bill from part of the ledger would be wrong.
 */
export class TableLedgerReader implements LedgerReader {
  readonly #table: TableClient;

  readonly #objectStore: ObjectStoreClient;

  constructor(options: TableLedgerReaderOptions) {
    this.#table = options.table;
    this.#objectStore = options.objectStore;
  }

  async listBilling(query: BillingQuery): Promise<readonly BillingRow[]> {
    return sumBilling(await this.listEntries(query));
  }

  /** Filters after the fold, so that only the winning entry of each key is matched. */
  async listEntries(query: BillingQuery): Promise<readonly UsageEntry[]> {
    const written = await this.#scanTable();
    const spilled = (await readSpills(this.#objectStore)).flatMap((batch) => batch.entries);
    const winners = foldEntries([...written, ...spilled]);
    return [...winners.values()].filter((entry) => matchesQuery(entry, query));
  }

  async #scanTable(): Promise<readonly UsageEntry[]> {
    const entries: UsageEntry[] = [];
    let afterKey: string | undefined;
    for (;;) {
      const rows = await this.#table.scan({
        prefix: LEDGER_PREFIX,
        limit: SCAN_PAGE_ROWS,
        ...(afterKey === undefined ? {} : { afterKey }),
      });
      rows.forEach((row) => entries.push(...restoreBatch(row.value, row.key).entries));
      afterKey = rows.at(-1)?.key;
      if (afterKey === undefined || rows.length < SCAN_PAGE_ROWS) {
        return entries;
      }
    }
  }
}

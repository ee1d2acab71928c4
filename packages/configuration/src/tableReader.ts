/** Reads the configuration from the table. */
import type { TableClient, TableRow } from '@snipehaven/platform';
import type { ResourceChange } from '@snipehaven/resources';
import { CHANGE_PREFIX, HEAD_KEY, RESOURCE_PREFIX, SCAN_LIMIT } from './constants.js';
import { ConfigurationUnavailableError } from './errors.js';
import type { Snapshot } from './replicaState.js';
import {
  getChangeKey,
  restoreChangeRow,
  restoreHead,
  restoreResourceRow,
  type Head,
} from './rows.js';
import { ReplicaView } from './view.js';

const MAX_LOAD_TRIES = 3;

/** Reads all rows with a prefix, page by page. */
export const scanAll = async (
  table: TableClient,
  prefix: string,
  firstAfterKey?: string,
): Promise<readonly TableRow[]> => {
  const rows: TableRow[] = [];
  let afterKey = firstAfterKey;
  for (;;) {
    const options = { prefix, limit: SCAN_LIMIT };
    const page = await table.scan(afterKey === undefined ? options : { ...options, afterKey });
    rows.push(...page);
    afterKey = page.at(-1)?.key;
    if (page.length < SCAN_LIMIT) {
      return rows;
    }
  }
};

/** Errors of the platform are passed through unchanged. */
export class TableReader {
  readonly #table: TableClient;

  constructor(table: TableClient) {
    this.#table = table;
  }

  async readHead(): Promise<Head> {
    const rows = await this.#table.read([HEAD_KEY]);
    return restoreHead(rows[0]);
  }

  /** Changes after a revision in order; undefined if the next one has been pruned. */
  async fetchChanges(afterRevision: number): Promise<readonly ResourceChange[] | undefined> {
    const rows = await scanAll(this.#table, CHANGE_PREFIX, getChangeKey(afterRevision));
    const changes = rows.map((row) => restoreChangeRow(row).change);
    const first = changes[0];
    return first && first.revision !== afterRevision + 1 ? undefined : changes;
  }

  /**
   * Reads all resources at one revision. Pages of a scan are read at different times and may
   * contain parts of concurrent changes. Applying all changes since the start of the scan makes the
   * result consistent, because each change contains the whole resource.
   */
  async loadSnapshot(): Promise<Snapshot> {
    for (let tries = 0; tries < MAX_LOAD_TRIES; tries += 1) {
      const before = await this.readHead();
      const rows = await scanAll(this.#table, RESOURCE_PREFIX);
      const changes = await this.fetchChanges(before.revision);
      if (changes) {
        const scanned = ReplicaView.create(before.revision, rows.map(restoreResourceRow));
        const view = changes.reduce((state, change) => state.withChange(change), scanned);
        return { revision: view.revision, resources: view.listAll() };
      }
    }
    throw new ConfigurationUnavailableError('the table changed faster than it could be read');
  }
}

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

/** All rows with a prefix, page by page. */
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

/** Throws the platform's errors as they come. */
export class TableReader {
  readonly #table: TableClient;

  constructor(table: TableClient) {
    this.#table = table;
  }

  async readHead(): Promise<Head> {
    const rows = await this.#table.read([HEAD_KEY]);
    return restoreHead(rows[0]);
  }

  /** Changes after a revision in order; undefined where the next one has been pruned. */
  async fetchChanges(afterRevision: number): Promise<readonly ResourceChange[] | undefined> {
    const rows = await scanAll(this.#table, CHANGE_PREFIX, getChangeKey(afterRevision));
    const changes = rows.map((row) => restoreChangeRow(row).change);
    const first = changes[0];
    return first && first.revision !== afterRevision + 1 ? undefined : changes;
  }

  /**
   * All resources at one revision. Pages of a scan come from different moments, so that they may hold parts
   * of changes made meanwhile; applying all changes since the scan began to it mends that, for each
   * change carries the whole resource.
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
    throw new ConfigurationUnavailableError('the table changes faster than it can be read');
  }
}

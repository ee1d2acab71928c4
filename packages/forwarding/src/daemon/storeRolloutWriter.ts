/** Writes the rows of roll-outs to the platform's store. */
import type { RolloutEvidence, RolloutStatus, RolloutWriter } from '../rollouts/index.js';
import type { RowStore, StoreRevision } from '../store/index.js';
import type { PlatformAdapter } from './types.js';

export class StoreRolloutWriter implements RolloutWriter {
  readonly #adapter: PlatformAdapter;

  readonly #store: RowStore;

  constructor(adapter: PlatformAdapter, store: RowStore) {
    this.#adapter = adapter;
    this.#store = store;
  }

  async writeStatus(status: RolloutStatus, expected: StoreRevision): Promise<boolean> {
    const row = this.#adapter.renderRolloutStatus(status);
    const { isWritten } = await this.#store.write({ ...this.#toWrite(row), expected });
    return isWritten;
  }

  async writeEvidence(evidence: RolloutEvidence): Promise<void> {
    await this.#store.write(this.#toWrite(this.#adapter.renderRolloutEvidence(evidence)));
  }

  #toWrite<Row>(row: Row): Row & { readonly table: string } {
    return { table: this.#adapter.tables.status, ...row };
  }
}

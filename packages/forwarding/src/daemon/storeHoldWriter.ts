/** Writes the rows of held requests to the platform's store. */
import type { RequestDigest } from '@snipehaven/common';
import type { HoldRecord, HoldWriter } from '../crashes/index.js';
import type { RowStore, StoreRevision } from '../store/index.js';
import type { PlatformAdapter } from './types.js';

export class StoreHoldWriter implements HoldWriter {
  readonly #adapter: PlatformAdapter;

  readonly #store: RowStore;

  constructor(adapter: PlatformAdapter, store: RowStore) {
    this.#adapter = adapter;
    this.#store = store;
  }

  async write(hold: HoldRecord, expected: StoreRevision): Promise<boolean> {
    const { tables, renderHold } = this.#adapter;
    const row = renderHold(hold);
    const { isWritten } = await this.#store.write({
      table: tables.status,
      ...row,
      expected,
    });
    return isWritten;
  }

  remove(digest: RequestDigest): Promise<void> {
    const { tables, getHoldKey } = this.#adapter;
    return this.#store.remove(tables.status, getHoldKey(digest));
  }
}

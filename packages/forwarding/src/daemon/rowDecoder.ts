/** Decodes rows that anyone may have written; one that does not decode is logged once. */
import { forgetOldest, getErrorMessage, type Logger } from '@snipehaven/common';
import type { StoreRow } from '../store/index.js';

export type Row = Pick<StoreRow, 'key' | 'value'>;

/** Keys whose rows do not decode; beyond it the oldest is forgotten, and logged again when it comes back. */
const MAX_MALFORMED = 1_000;

export class RowDecoder {
  readonly #logger: Logger;

  /** By key, why its row did not decode when last seen. */
  readonly #malformed = new Map<string, string>();

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  /** Undefined for a row that does not decode, and whatever `decode` calls of no concern. */
  decode<Value>(row: Row, decode: (row: Row) => Value): Value | undefined {
    try {
      const value = decode(row);
      this.forget(row.key);
      return value;
    } catch (error) {
      this.#note(row.key, getErrorMessage(error));
      return undefined;
    }
  }

  /** The row is gone or well again: should it be malformed once more, that is news. */
  forget(key: string): void {
    this.#malformed.delete(key);
  }

  /** A worker writes its row with each heartbeat: without this one bad row is a line a second. */
  #note(key: string, cause: string): void {
    if (this.#malformed.get(key) === cause) {
      return;
    }
    this.#malformed.delete(key);
    this.#malformed.set(key, cause);
    forgetOldest(this.#malformed, MAX_MALFORMED);
    this.#logger.error({ event: 'rowSkipped', key, cause }, 'a row does not decode');
  }
}

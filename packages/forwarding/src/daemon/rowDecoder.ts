/** Decodes rows from any writer; a row that cannot be decoded is logged once. */
import { forgetOldest, getErrorMessage, type Logger } from '@snipehaven/common';
import type { StoreRow } from '../store/index.js';

export type Row = Pick<StoreRow, 'key' | 'value'>;

/**
 * Limits the keys of malformed rows; the oldest is dropped, and is logged again if its row returns.
 */
const MAX_MALFORMED_KEYS = 1_000;

export class RowDecoder {
  readonly #logger: Logger;

  /** Keyed by row: why it could not be decoded when last seen. */
  readonly #malformed = new Map<string, string>();

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  /**
   * Undefined if the row cannot be decoded, or if `decode` returns undefined for a row that is not
   * relevant.
   */
  decode<Value>(row: Row, decode: (row: Row) => Value): Value | undefined {
    try {
      const value = decode(row);
      this.forget(row.key);
      return value;
    } catch (error) {
      this.#recordMalformed(row.key, getErrorMessage(error));
      return undefined;
    }
  }

  /** Called when the row is removed or can be decoded again; the next failure is logged anew. */
  forget(key: string): void {
    this.#malformed.delete(key);
  }

  /**
   * Logs each cause once per row: workers write their rows with each heartbeat, so one malformed
   * row would log a line a second.
   */
  #recordMalformed(key: string, cause: string): void {
    if (this.#malformed.get(key) === cause) {
      return;
    }
    this.#malformed.delete(key);
    this.#malformed.set(key, cause);
    forgetOldest(this.#malformed, MAX_MALFORMED_KEYS);
    this.#logger.error(
      { event: 'rowSkipped', key, cause },
      'row skipped because it cannot be decoded',
    );
  }
}

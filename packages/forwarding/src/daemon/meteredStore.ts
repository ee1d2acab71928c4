/** Counts the calls to the store: they are billed and must not grow with the number of daemons. */
import type { Logger } from '@snipehaven/common';
import type {
  ConditionalWrite,
  RowStore,
  StoreEra,
  StoreChange,
  StorePage,
  StoreRow,
  WriteResult,
} from '../store/index.js';

/**
 * `first`: read of a complete table. `feedChanged`, `feedIdle`: held request that returned changes
 * or none. `catchUp`: request that is not held, for changes that were not relayed. `write`: write
 * or removal of a row.
 */
export type CallOutcome =
  'first' | 'feedChanged' | 'feedIdle' | 'catchUp' | 'write' | 'writeRefused' | 'failed';

export interface StoreMeter {
  countStoreCall(purpose: string, outcome: CallOutcome): void;
}

export class MeteredStore implements RowStore {
  readonly #store: RowStore;

  readonly #meter: StoreMeter;

  readonly #logger: Logger;

  /** The table that this client follows, or the rows that it writes. */
  readonly #purpose: string;

  readonly #storeEra: Pick<StoreEra, 'newest'>;

  constructor(
    store: RowStore,
    meter: StoreMeter,
    logger: Logger,
    purpose: string,
    storeEra: Pick<StoreEra, 'newest'>,
  ) {
    this.#storeEra = storeEra;
    this.#store = store;
    this.#meter = meter;
    this.#logger = logger;
    this.#purpose = purpose;
  }

  readRows(table: string): Promise<StorePage<StoreRow>> {
    return this.#call(
      () => this.#store.readRows(table),
      () => 'first',
    );
  }

  readChanges(table: string, after: number, waitMs: number): Promise<StorePage<StoreChange>> {
    const getOutcome = ({ items }: StorePage<StoreChange>): CallOutcome => {
      if (waitMs === 0) {
        return 'catchUp';
      }
      return items.length > 0 ? 'feedChanged' : 'feedIdle';
    };
    return this.#call(() => this.#store.readChanges(table, after, waitMs), getOutcome);
  }

  /**
   * A condition of an earlier era may hold by chance for another row, so it is not sent; the caller
   * decides anew by what the store has now.
   */
  async write(write: ConditionalWrite): Promise<WriteResult> {
    const { newest } = this.#storeEra;
    const { expected } = write;
    if (expected !== undefined && expected.era !== newest) {
      return { isWritten: false, era: newest };
    }
    const result = await this.#call(
      () => this.#store.write(write),
      ({ isWritten }) => (isWritten ? 'write' : 'writeRefused'),
    );
    if (expected !== undefined && result.era !== expected.era) {
      const { table, key } = write;
      this.#logger.warn(
        { event: 'writtenInLaterEra', table, key, expected, ...result },
        'the store came back from a copy before a write under a condition',
      );
    }
    return result;
  }

  remove(table: string, key: string): Promise<void> {
    return this.#call(
      () => this.#store.remove(table, key),
      () => 'write',
    );
  }

  close(): void {
    this.#store.close();
  }

  async #call<Answer>(
    call: () => Promise<Answer>,
    getOutcome: (answer: Answer) => CallOutcome,
  ): Promise<Answer> {
    try {
      const answer = await call();
      this.#count(getOutcome(answer));
      return answer;
    } catch (error) {
      this.#count('failed');
      throw error;
    }
  }

  #count(outcome: CallOutcome): void {
    this.#meter.countStoreCall(this.#purpose, outcome);
    this.#logger.debug({ event: 'storeCalled', purpose: this.#purpose, outcome });
  }
}

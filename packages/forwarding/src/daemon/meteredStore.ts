/** Counts calls to the store: they are paid for, and must not grow with the daemons. */
import type { Logger } from '@snipehaven/common';
import type {
  ConditionalWrite,
  RowStore,
  StoreChange,
  StorePage,
  StoreRow,
  WriteResult,
} from '../store/index.js';

/**
 * `first`: a table read whole. `feedChanged`, `feedIdle`: a held question that told of changes or of
 * none. `catchUp`: a question that is not held, for what others did not pass on. `write`: a row of
 * ours.
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

  /** What this client is for: a table that it follows, or rows that it writes. */
  readonly #purpose: string;

  constructor(store: RowStore, meter: StoreMeter, logger: Logger, purpose: string) {
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
    const findOutcome = ({ items }: StorePage<StoreChange>): CallOutcome => {
      if (waitMs === 0) {
        return 'catchUp';
      }
      return items.length > 0 ? 'feedChanged' : 'feedIdle';
    };
    return this.#call(() => this.#store.readChanges(table, after, waitMs), findOutcome);
  }

  write(write: ConditionalWrite): Promise<WriteResult> {
    return this.#call(
      () => this.#store.write(write),
      ({ isWritten }) => (isWritten ? 'write' : 'writeRefused'),
    );
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
    findOutcome: (answer: Answer) => CallOutcome,
  ): Promise<Answer> {
    try {
      const answer = await call();
      this.#note(findOutcome(answer));
      return answer;
    } catch (error) {
      this.#note('failed');
      throw error;
    }
  }

  #note(outcome: CallOutcome): void {
    this.#meter.countStoreCall(this.#purpose, outcome);
    this.#logger.debug({ event: 'storeCalled', purpose: this.#purpose, outcome });
  }
}

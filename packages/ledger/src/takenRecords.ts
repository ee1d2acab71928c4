/** Other daemons' records that are in the own book too, with a copy on the own peer. */
import type { HeldRecord } from './heldRecords.js';
import type { BookRecord, RecordBook } from './recordBook.js';
import type { Replicator } from './replicator.js';

export const getRequestId = (record: BookRecord): string =>
  record.kind === 'open' ? record.usage.requestId : record.entry.requestId;

/** The copy as it goes on to the own peer, which must not take it for this daemon's request. */
const nameOwner = (record: BookRecord, owner: string): BookRecord =>
  record.kind === 'open'
    ? { kind: 'open', usage: { ...record.usage, ownedBy: record.usage.ownedBy ?? owner } }
    : record;

export class TakenRecords {
  readonly #book: RecordBook;

  readonly #replicator: Replicator;

  /** From whose copies a record was taken, by request id. */
  readonly #owners = new Map<string, string>();

  constructor(book: RecordBook, replicator: Replicator) {
    this.#book = book;
    this.#replicator = replicator;
  }

  /** Takes an owner's records into the book; resolves when the own peer holds them, or none is alive. */
  async take(owner: string, records: readonly HeldRecord[]): Promise<void> {
    const present = new Set(records.map(({ record }) => getRequestId(record)));
    this.#dropOpen(owner, (requestId) => !present.has(requestId));
    await Promise.all(records.map(({ record }) => this.#takeOne(owner, record)));
  }

  /** Drops an owner's open records: it lives and settles them itself. */
  giveBack(owner: string): void {
    this.#dropOpen(owner, () => true);
  }

  drop(requestId: string): void {
    this.#owners.delete(requestId);
    this.#book.giveBack(requestId);
    this.#replicator.forget(requestId);
  }

  /** Whose copy the record was; undefined: the own request's. */
  getOwner(requestId: string): string | undefined {
    return this.#owners.get(requestId);
  }

  #takeOne(owner: string, record: BookRecord): Promise<void> {
    const requestId = getRequestId(record);
    if (record.kind === 'open' && this.#book.getRecord(requestId)?.kind === 'settled') {
      return Promise.resolve();
    }
    this.#book.adopt(nameOwner(record, owner));
    this.#owners.set(requestId, owner);
    return this.#replicator.replicate(requestId);
  }

  /** Records that have left the book are forgotten here too. */
  #dropOpen(owner: string, isDropped: (requestId: string) => boolean): void {
    [...this.#owners].forEach(([requestId, from]) => {
      const kind = this.#book.getRecord(requestId)?.kind;
      if (kind === undefined) {
        this.#owners.delete(requestId);
      } else if (from === owner && kind === 'open' && isDropped(requestId)) {
        this.drop(requestId);
      }
    });
  }
}

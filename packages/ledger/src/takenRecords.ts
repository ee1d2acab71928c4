/** Other daemons' records that are also in the own book, with a replica on the own peer. */
import type { HeldRecord } from './heldRecords.js';
import type { BookRecord, RecordBook } from './recordBook.js';
import type { Replicator } from './replicator.js';

export const getRequestId = (record: BookRecord): string =>
  record.kind === 'open' ? record.usage.requestId : record.entry.requestId;

/** Adds the owner, so that the own peer does not treat the record as this daemon's request. */
const nameOwner = (record: BookRecord, owner: string): BookRecord =>
  record.kind === 'open'
    ? { kind: 'open', usage: { ...record.usage, ownedBy: record.usage.ownedBy ?? owner } }
    : record;

export class TakenRecords {
  readonly #book: RecordBook;

  readonly #replicator: Replicator;

  /** Owners of the records, by request id. */
  readonly #owners = new Map<string, string>();

  constructor(book: RecordBook, replicator: Replicator) {
    this.#book = book;
    this.#replicator = replicator;
  }

  /** Adds an owner's records to the book; resolves when the own peer holds them, or none is alive. */
  async take(owner: string, records: readonly HeldRecord[]): Promise<void> {
    const present = new Set(records.map(({ record }) => getRequestId(record)));
    this.#dropOpen(owner, (requestId) => !present.has(requestId));
    await Promise.all(records.map(({ record }) => this.#takeOne(owner, record)));
  }

  /** Drops the open records of an owner that is alive and settles them itself. */
  giveBack(owner: string): void {
    this.#dropOpen(owner, () => true);
  }

  drop(requestId: string): void {
    this.#owners.delete(requestId);
    this.#book.giveBack(requestId);
    this.#replicator.forget(requestId);
  }

  /** Owner of the record; undefined for an own request. */
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

  /** Also drops the owners of records that are no longer in the book. */
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

/** Replicas of other daemons' records that this daemon holds as their peer. */
import type { ReplicateUsage } from '@snipehaven/protocol';
import type { BookRecord } from './recordBook.js';

/** A replica and the local time at which it was received. */
export interface HeldRecord {
  readonly record: BookRecord;
  readonly receivedAtMs: number;
}

interface Owner {
  ledger: string;
  lastSeq: number;
  readonly records: Map<string, HeldRecord>;
}

const createOwner = (): Owner => ({ ledger: '', lastSeq: 0, records: new Map() });

const applyOpened = (owner: Owner, message: ReplicateUsage): void =>
  message.opened.forEach((usage) => {
    const receivedAtMs = owner.records.get(usage.requestId)?.receivedAtMs ?? Date.now();
    owner.records.set(usage.requestId, { record: { kind: 'open', usage }, receivedAtMs });
  });

const applySettled = (owner: Owner, message: ReplicateUsage): void =>
  message.settled.forEach((entry) =>
    owner.records.set(entry.requestId, {
      record: { kind: 'settled', entry },
      receivedAtMs: Date.now(),
    }),
  );

export class HeldRecords {
  readonly #owners = new Map<string, Owner>();

  /** Applies an owner's message, unless a later one was applied; returns its number of held records. */
  apply(message: ReplicateUsage): number {
    const owner = this.#owners.get(message.owner) ?? createOwner();
    this.#owners.set(message.owner, owner);
    if (message.seq <= owner.lastSeq) {
      return owner.records.size;
    }
    owner.lastSeq = message.seq;
    owner.ledger = message.ledger;
    if (message.isFull) {
      owner.records.clear();
    }
    applyOpened(owner, message);
    applySettled(owner, message);
    message.forgotten.forEach((requestId) => owner.records.delete(requestId));
    return owner.records.size;
  }

  listOwners(): readonly string[] {
    return [...this.#owners.keys()];
  }

  /** The incarnation of the owner's ledger, as of its last message. */
  getLedger(owner: string): string {
    return this.#owners.get(owner)?.ledger ?? owner;
  }

  list(owner: string): readonly HeldRecord[] {
    return [...(this.#owners.get(owner)?.records.values() ?? [])];
  }

  /** Number of replicas over all owners. */
  count(): number {
    return [...this.#owners.values()].reduce((sum, owner) => sum + owner.records.size, 0);
  }

  /** Drops adopted replicas, except those that the owner has replaced in the meantime. */
  dropAdopted(owner: string, adopted: readonly HeldRecord[]): void {
    const records = this.#owners.get(owner)?.records;
    adopted.forEach((held) => {
      const { record } = held;
      const requestId = record.kind === 'open' ? record.usage.requestId : record.entry.requestId;
      if (records?.get(requestId) === held) {
        records.delete(requestId);
      }
    });
  }

  /** Removes a permanently gone owner if no records of it are held. */
  dropEmptyOwner(owner: string): void {
    if (this.#owners.get(owner)?.records.size === 0) {
      this.#owners.delete(owner);
    }
  }
}

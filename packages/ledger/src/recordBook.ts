/** The records this daemon is responsible for: open ones, and settled ones that are not durable yet. */
import { invariant } from '@snipehaven/common';
import type { OpenUsage, UsageEntry, UsageStream } from '@snipehaven/protocol';
import { REMEMBERED_SETTLEMENTS } from './constants.js';
import { compareEntries, getEntryText } from './foldEntries.js';
import type { Settlement } from './types.js';

/** A record in the form that is replicated to the peer. */
export type BookRecord =
  | { readonly kind: 'open'; readonly usage: OpenUsage }
  | { readonly kind: 'settled'; readonly entry: UsageEntry };

/** Who settles a record, and whether on behalf of a dead owner. */
export interface Settler {
  readonly settledBy: string;
  readonly isAdopted: boolean;
}

/** Builds the entry of a settled record. */
export const createEntry = (
  usage: OpenUsage,
  settlement: Settlement,
  settler: Settler,
): UsageEntry => ({
  requestId: usage.requestId,
  requestKey: usage.requestKey,
  team: usage.team,
  teamUid: usage.teamUid,
  openedAtMs: usage.openedAtMs,
  settledAtMs: Date.now(),
  outcome: settlement.outcome,
  lines: [...settlement.lines],
  costMicroUsd: settlement.lines.reduce((sum, line) => sum + line.costMicroUsd, 0),
  ...settler,
});

const getSettlementText = (settlement: Settlement): string =>
  JSON.stringify([settlement.outcome, settlement.lines]);

export class RecordBook {
  readonly #open = new Map<string, OpenUsage>();

  /** In order of settlement. */
  readonly #settled = new Map<string, UsageEntry>();

  /** Serialized recent settlements by request id, including flushed ones, to detect duplicates. */
  readonly #remembered = new Map<string, string>();

  get pendingCount(): number {
    return this.#open.size + this.#settled.size;
  }

  get settledCount(): number {
    return this.#settled.size;
  }

  listIds(): readonly string[] {
    return [...this.#open.keys(), ...this.#settled.keys()];
  }

  getRecord(requestId: string): BookRecord | undefined {
    const entry = this.#settled.get(requestId);
    if (entry) {
      return { kind: 'settled', entry };
    }
    const usage = this.#open.get(requestId);
    return usage && { kind: 'open', usage };
  }

  open(usage: OpenUsage): void {
    const isNew = !this.#isKnown(usage.requestId);
    invariant(isNew, 'billedOnce', `${usage.requestId} was opened twice`);
    if (isNew) {
      this.#open.set(usage.requestId, usage);
    }
  }

  addStream(requestId: string, stream: UsageStream): void {
    const usage = this.#open.get(requestId);
    invariant(usage, 'billedOnce', `${requestId} runs at ${stream.upstream} but is not open`);
    if (usage) {
      this.#open.set(requestId, { ...usage, streams: [...usage.streams, stream] });
    }
  }

  /**
   * Settles an open record; returns the entry, or undefined if it was settled before. The first
   * settlement stands, since a second one with other content would bill the request in two ways.
   */
  settle(requestId: string, settlement: Settlement, settler: Settler): UsageEntry | undefined {
    const usage = this.#open.get(requestId);
    const text = getSettlementText(settlement);
    invariant(
      usage !== undefined || this.#remembered.get(requestId) === text,
      'billedOnce',
      `${requestId} was settled again, otherwise, or never opened`,
    );
    if (!usage) {
      return undefined;
    }
    const entry = createEntry(usage, settlement, settler);
    this.#open.delete(requestId);
    this.#settled.set(requestId, entry);
    this.#remember(requestId, text);
    return entry;
  }

  /** Removes an open record; returns whether there was one. */
  discard(requestId: string): boolean {
    const isUnsettled = !this.#remembered.has(requestId);
    invariant(isUnsettled, 'billedOnce', `${requestId} was discarded after its settlement`);
    return this.#open.delete(requestId);
  }

  /**
   * Takes over a dead owner's record and keeps the entry that wins the fold. Two chains of adoption can
   * end here, one with the owner's answered entry and one with an adopter's partial entry; if the later
   * one replaced the other, an answered request could be billed as partial.
   */
  adopt(record: BookRecord): void {
    if (record.kind === 'settled') {
      const present = this.#settled.get(record.entry.requestId);
      if (!present || compareEntries(record.entry, present) < 0) {
        this.#settled.set(record.entry.requestId, record.entry);
      }
      this.#open.delete(record.entry.requestId);
      return;
    }
    this.#open.set(record.usage.requestId, record.usage);
  }

  /** Drops the replica of an open record whose owner turns out to be alive. */
  giveBack(requestId: string): void {
    this.#open.delete(requestId);
  }

  /** Returns the oldest settled entries. */
  listSettled(limit: number): readonly UsageEntry[] {
    const entries: UsageEntry[] = [];
    for (const entry of this.#settled.values()) {
      if (entries.length === limit) {
        break;
      }
      entries.push(entry);
    }
    return entries;
  }

  /** Removes entries that are durable now, except those that were replaced in the meantime. */
  removeLasting(entries: readonly UsageEntry[]): void {
    entries.forEach((entry) => {
      const present = this.#settled.get(entry.requestId);
      if (present && (present === entry || getEntryText(present) === getEntryText(entry))) {
        this.#settled.delete(entry.requestId);
      }
    });
  }

  #isKnown(requestId: string): boolean {
    return (
      this.#open.has(requestId) || this.#settled.has(requestId) || this.#remembered.has(requestId)
    );
  }

  #remember(requestId: string, text: string): void {
    this.#remembered.set(requestId, text);
    if (this.#remembered.size > REMEMBERED_SETTLEMENTS) {
      const [oldest] = this.#remembered.keys();
      this.#remembered.delete(oldest as string);
    }
  }
}

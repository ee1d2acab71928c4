/**
 * What was known of a table before the store came back from a copy that lacks it. The operator and
 * the upstreams write their rows again, which takes a moment: until then a missing row has not been
 * removed, and an older value has not been written.
 */
import { forgetOldest } from '@snipehaven/common';
import type { StoreEra } from './storeEra.js';
import type { StoreRevision } from './storeRevision.js';
import type { StoreChange, StoreRow } from './types.js';

/** A row as it was last known in an earlier era; the revision is that of its last value. */
export interface KnownRow extends StoreRevision {
  readonly key: string;
  readonly value: string;
  readonly isRemoved: boolean;
}

/** A known row that goes before what the store says, as sent to other daemons. */
export interface RetainedRow extends KnownRow {
  /** For how much longer, in ms. */
  readonly leftMs: number;
}

export interface RetentionPolicy {
  /** Whether a row read in a later era is older than what is known of it. */
  isOlder(written: StoreRow, known: KnownRow): boolean;
  /** How long what is known goes before the store, in ms; 0 if it does not. */
  getRetentionMs(known: KnownRow): number;
}

/** For tables whose rows only daemons write. */
export const NO_RETENTION: RetentionPolicy = { isOlder: () => false, getRetentionMs: () => 0 };

/** No policy retains rows for longer. */
export const MAX_RETENTION_MS = 10_000;

/** More than the rows that are removed within the age of a copy. */
const MAX_REMOVED_ROWS = 1_000;

interface Retention {
  readonly known: KnownRow;
  /** When it ends, on the monotonic clock, unless this daemon learned of the era late. */
  readonly untilMs: number;
  /** Whether another daemon told for how long. */
  readonly isLearned: boolean;
}

export type RowsByKey = ReadonlyMap<string, StoreRow>;

export class RowRetention {
  readonly #policy: RetentionPolicy;

  /** The time to write rows again began earlier for a daemon that learned of it late. */
  readonly #era: Pick<StoreEra, 'lateMs'>;

  /** Rows that were removed lately; oldest first. */
  readonly #removed = new Map<string, KnownRow>();

  readonly #retained = new Map<string, Retention>();

  constructor(policy: RetentionPolicy, era: Pick<StoreEra, 'lateMs'>) {
    this.#policy = policy;
    this.#era = era;
  }

  get isEmpty(): boolean {
    return this.#retained.size === 0;
  }

  /** When the next retention ends, on the monotonic clock; Infinity if there is none. */
  get nextEndMs(): number {
    return Math.min(Infinity, ...[...this.#retained.values()].map((one) => this.#getEndMs(one)));
  }

  list(nowMs: number): readonly RetainedRow[] {
    return [...this.#retained.values()].map((one) => ({
      ...one.known,
      leftMs: Math.max(0, Math.round(this.#getEndMs(one) - nowMs)),
    }));
  }

  /** Called for each row that the store removed, with its last value. */
  noteRemoved({ key, value, era, version }: StoreRow): void {
    this.#removed.delete(key);
    this.#removed.set(key, { key, value, era, version, isRemoved: true });
    forgetOldest(this.#removed, MAX_REMOVED_ROWS);
  }

  noteWritten(key: string): void {
    this.#removed.delete(key);
  }

  /** Retains what the rows of a new era lack of the rows held before, at its first complete read. */
  startEra(held: RowsByKey, restored: RowsByKey, nowMs: number): void {
    const known = this.#listKnown(held);
    this.#retained.clear();
    known.forEach((row) => {
      const untilMs = nowMs + this.#policy.getRetentionMs(row);
      this.#retain(row, restored, { untilMs, isLearned: false }, nowMs);
    });
  }

  /**
   * Adds what another daemon retains and this one does not know; returns the keys of these rows.
   */
  learn(rows: readonly RetainedRow[], current: RowsByKey, nowMs: number): readonly string[] {
    const learned = rows.filter((row) => {
      const own = this.#retained.get(row.key)?.known;
      const isKnown = own !== undefined && !this.#policy.isOlder(own, row);
      const leftMs = Math.min(this.#policy.getRetentionMs(row), row.leftMs);
      const term = { untilMs: nowMs + leftMs, isLearned: true };
      return !isKnown && this.#retain(row, current, term, nowMs);
    });
    return learned.map(({ key }) => key);
  }

  /**
   * Ends the retention of a row that is written or removed in the present era. Returns false if it
   * is an older value that is written again, so that what is known still goes before it.
   */
  admit({ key, value, era, version }: StoreChange): boolean {
    const retained = this.#retained.get(key);
    const isOlder =
      retained !== undefined &&
      value !== undefined &&
      this.#policy.isOlder({ key, value, era, version }, retained.known);
    if (!isOlder) {
      this.#retained.delete(key);
    }
    return !isOlder;
  }

  /** The row that is in force; undefined if there is none. */
  find(key: string, current: StoreRow | undefined): StoreRow | undefined {
    const known = this.#retained.get(key)?.known;
    return known === undefined ? current : toRow(known);
  }

  /** The rows that are in force. */
  merge(current: RowsByKey): RowsByKey {
    const rows = new Map(current);
    for (const { known } of this.#retained.values()) {
      const row = toRow(known);
      if (row === undefined) {
        rows.delete(known.key);
      } else {
        rows.set(known.key, row);
      }
    }
    return rows;
  }

  /** Ends retentions that are over, and returns the keys of their rows. */
  release(nowMs: number): readonly string[] {
    const ended = [...this.#retained].filter(([, one]) => this.#getEndMs(one) <= nowMs);
    ended.forEach(([key]) => this.#retained.delete(key));
    return ended.map(([key]) => key);
  }

  #listKnown(held: RowsByKey): readonly KnownRow[] {
    const present = [...this.merge(held).values()].map((row) => ({ ...row, isRemoved: false }));
    const keys = new Set(present.map(({ key }) => key));
    const removed = [...this.#removed.values()].filter(({ key }) => !keys.has(key));
    return [...present, ...removed];
  }

  #getEndMs({ untilMs, isLearned }: Omit<Retention, 'known'>): number {
    return isLearned ? untilMs : untilMs - this.#era.lateMs;
  }

  #retain(
    row: KnownRow,
    restored: RowsByKey,
    term: Omit<Retention, 'known'>,
    nowMs: number,
  ): boolean {
    const { key, value, era, version, isRemoved } = row;
    const written = restored.get(key);
    const isKnownBetter = written === undefined ? !isRemoved : this.#policy.isOlder(written, row);
    if (!isKnownBetter || this.#getEndMs(term) <= nowMs) {
      return false;
    }
    const known = { key, value, era, version, isRemoved };
    this.#retained.set(key, { known, ...term });
    return true;
  }
}

const toRow = ({ key, value, era, version, isRemoved }: KnownRow): StoreRow | undefined =>
  isRemoved ? undefined : { key, value, era, version };

/** A lease from the point of view of its holder. */
import { LEASE_MARGIN } from '../constants.js';
import type { Lease } from '../types.js';
import { startElapsedTime } from './elapsedTime.js';
import type { LeaseRow, VersionedLeaseRow } from './leaseRow.js';

/**
 * The time that a holder may rely on, counted from before the write that acquired or extended the
 * lease.
 */
export interface LeaseTerm {
  readonly getElapsedMs: () => number;
  readonly durationMs: number;
}

/**
 * Starts a term. Must be called before the write is sent, because other members count from the
 * moment at which it takes effect.
 */
export const startTerm = (durationMs: number): LeaseTerm => ({
  getElapsedMs: startElapsedTime(),
  durationMs,
});

const getRemainingMs = (term: LeaseTerm): number =>
  term.durationMs * (1 - LEASE_MARGIN) - term.getElapsedMs();

const isRunning = (term: LeaseTerm): boolean => getRemainingMs(term) > 0;

type ReleaseListener = (lease: HeldLease) => Promise<void>;

export class HeldLease implements Lease {
  readonly name: string;

  readonly holder: string;

  readonly fence: number;

  readonly #onRelease: ReleaseListener;

  /** Version of the row after this holder's last write. */
  #version: number;

  #renewals = 0;

  #term: LeaseTerm;

  /** Terms whose writes may or may not have taken effect. */
  #unconfirmed: LeaseTerm[] = [];

  #isEnded = false;

  constructor(
    name: string,
    row: Pick<LeaseRow, 'fence'> & { readonly holder: string; readonly version: number },
    term: LeaseTerm,
    onRelease: ReleaseListener,
  ) {
    this.name = name;
    this.holder = row.holder;
    this.fence = row.fence;
    this.#version = row.version;
    this.#term = term;
    this.#onRelease = onRelease;
  }

  get version(): number {
    return this.#version;
  }

  get renewals(): number {
    return this.#renewals;
  }

  /** While it is unknown which term is in the table, the shortest one counts. */
  isHeld(): boolean {
    if (!this.#isEnded && ![this.#term, ...this.#unconfirmed].every(isRunning)) {
      this.#isEnded = true;
    }
    return !this.#isEnded;
  }

  getRemainingMs(): number {
    return this.isHeld() ? Math.min(...[this.#term, ...this.#unconfirmed].map(getRemainingMs)) : 0;
  }

  async release(): Promise<void> {
    if (!this.#isEnded) {
      this.#isEnded = true;
      await this.#onRelease(this);
    }
  }

  /** Whether the row belongs to this lease. Only the holder writes under its fence. */
  isRow(row: VersionedLeaseRow): boolean {
    return row.value?.holder === this.holder && row.value.fence === this.fence;
  }

  /** Registers an extension whose write is in progress. */
  addUnconfirmed(term: LeaseTerm): void {
    this.#unconfirmed.push(term);
  }

  /** Adopts the version that an earlier write of this holder created, whose reply was lost. */
  syncWithRow(row: VersionedLeaseRow): void {
    this.#version = row.version;
    this.#renewals = row.value?.renewals ?? this.#renewals;
  }

  /**
   * Applies an extension that is certainly in the table. Writes sent before it can no longer take
   * effect.
   */
  extend(term: LeaseTerm, version: number): void {
    this.#term = term;
    this.#unconfirmed = [];
    this.#version = version;
    this.#renewals += 1;
  }

  /** Ends the lease for good, because another member holds it. */
  end(): void {
    this.#isEnded = true;
  }
}

/** A lease as its holder sees it. */
import { LEASE_MARGIN } from '../constants.js';
import type { Lease } from '../types.js';
import { startElapsedTime } from './elapsedTime.js';
import type { LeaseRow, VersionedLeaseRow } from './leaseRow.js';

/** The time a holder may count on, from the moment before the write that took or extended the lease. */
export interface LeaseTerm {
  readonly getElapsedMs: () => number;
  readonly durationMs: number;
}

/** Starts a term; to be called before the write is sent, for others count from when it took effect. */
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

  /** Version of the row as this holder last wrote it. */
  #version: number;

  #renewals = 0;

  #term: LeaseTerm;

  /** Terms whose writes may or may not have taken effect. */
  #unsure: LeaseTerm[] = [];

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

  /** While it is open which term the table holds, the shortest counts. */
  isHeld(): boolean {
    if (!this.#isEnded && ![this.#term, ...this.#unsure].every(isRunning)) {
      this.#isEnded = true;
    }
    return !this.#isEnded;
  }

  getRemainingMs(): number {
    return this.isHeld() ? Math.min(...[this.#term, ...this.#unsure].map(getRemainingMs)) : 0;
  }

  async release(): Promise<void> {
    if (!this.#isEnded) {
      this.#isEnded = true;
      await this.#onRelease(this);
    }
  }

  /** Whether a row is this very lease: only its holder writes under its fence. */
  isRow(row: VersionedLeaseRow): boolean {
    return row.value?.holder === this.holder && row.value.fence === this.fence;
  }

  /** Notes an extension on its way. */
  addUnsure(term: LeaseTerm): void {
    this.#unsure.push(term);
  }

  /** Takes in the row as an earlier write of this holder left it, whose reply was lost. */
  catchUp(row: VersionedLeaseRow): void {
    this.#version = row.version;
    this.#renewals = row.value?.renewals ?? this.#renewals;
  }

  /** Takes the extension that is in the table for sure; writes sent before it can't follow it. */
  extend(term: LeaseTerm, version: number): void {
    this.#term = term;
    this.#unsure = [];
    this.#version = version;
    this.#renewals += 1;
  }

  /** Ends it for good: another holds it. */
  end(): void {
    this.#isEnded = true;
  }
}

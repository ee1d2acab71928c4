/** A lease as its holder sees it. */
import { LEASE_MARGIN } from '../constants.js';
import type { Lease } from '../types.js';
import { startElapsedTime } from './elapsedTime.js';

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

const isRunning = (term: LeaseTerm): boolean =>
  term.getElapsedMs() < term.durationMs * (1 - LEASE_MARGIN);

export class HeldLease implements Lease {
  readonly name: string;

  readonly fence: number;

  /** Version of the row as this holder last wrote it. */
  version: number;

  renewals = 0;

  #term: LeaseTerm;

  /** Terms whose writes may or may not have taken effect. */
  #unsure: LeaseTerm[] = [];

  #isEnded = false;

  readonly #onRelease: (lease: HeldLease) => Promise<void>;

  constructor(
    name: string,
    fence: number,
    version: number,
    term: LeaseTerm,
    onRelease: (lease: HeldLease) => Promise<void>,
  ) {
    this.name = name;
    this.fence = fence;
    this.version = version;
    this.#term = term;
    this.#onRelease = onRelease;
  }

  /** The shortest of the terms counts as long as it is open which of them the table holds. */
  isHeld(): boolean {
    if (!this.#isEnded && ![this.#term, ...this.#unsure].every(isRunning)) {
      this.#isEnded = true;
    }
    return !this.#isEnded;
  }

  async release(): Promise<void> {
    if (!this.#isEnded) {
      this.#isEnded = true;
      await this.#onRelease(this);
    }
  }

  /** Notes an extension on its way. */
  addUnsure(term: LeaseTerm): void {
    this.#unsure.push(term);
  }

  /** Takes the extension that is known to be in the table; those sent before it are settled too. */
  extend(term: LeaseTerm, version: number): void {
    this.#term = term;
    this.#unsure = [];
    this.version = version;
  }

  /** Ends it for good: another holds it, or nobody can tell any more. */
  end(): void {
    this.#isEnded = true;
  }
}

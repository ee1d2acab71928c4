/**
 * Tracks this daemon's candidate answers of all roll-outs and how many of them have been judged.
 */
import type { VersionId } from '@snipehaven/common';
import { ExposureAccount } from './exposureAccount.js';
import type { RolloutCatalogue } from './rolloutCatalogue.js';

export class ExposureLedger {
  readonly #catalogue: RolloutCatalogue;

  readonly #accounts = new Map<string, ExposureAccount>();

  constructor(catalogue: RolloutCatalogue) {
    this.#catalogue = catalogue;
  }

  getAccount(rolloutId: string): ExposureAccount {
    const account = this.#accounts.get(rolloutId) ?? new ExposureAccount();
    this.#accounts.set(rolloutId, account);
    return account;
  }

  /** Releases the unused reservations of a finished request. */
  release(requestId: string): void {
    this.#accounts.forEach((account) => account.release(requestId));
  }

  /** Counts an answer of a candidate, including one that was not assigned by this daemon. */
  recordEnding(version: VersionId, isBad: boolean): void {
    this.#findAccount(version)?.recordEnding(isBad);
  }

  /** Counts a rating of a candidate's answer. */
  recordScore(version: VersionId): void {
    this.#findAccount(version)?.recordScore();
  }

  /**
   * Writes off answers that should have been rated, given that ratings were published until this
   * time.
   */
  expireUnrated(ratedUntilMs: number): void {
    this.#accounts.forEach((account) => account.expireUnrated(ratedUntilMs));
  }

  #findAccount(version: VersionId): ExposureAccount | undefined {
    const declared = this.#catalogue.findByCandidate(version);
    return declared && this.getAccount(declared.definition.rolloutId);
  }
}

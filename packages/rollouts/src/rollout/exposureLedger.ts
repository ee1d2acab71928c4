/** What this daemon has exposed of each roll-out's candidate, and what is known of the outcomes. */
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

  /** Gives back what a finished request held and did not use. */
  release(requestId: string): void {
    this.#accounts.forEach((account) => account.release(requestId));
  }

  /** Counts an answer of a candidate, wherever it was assigned. */
  noteEnding(version: VersionId, isBad: boolean): void {
    this.#findAccount(version)?.noteEnding(isBad);
  }

  /** Counts a rating of a candidate's answer. */
  noteScore(version: VersionId): void {
    this.#findAccount(version)?.noteScore();
  }

  /** Ratings are known to have gone on until the moment. */
  notePassed(ratedUntilMs: number): void {
    this.#accounts.forEach((account) => account.notePassed(ratedUntilMs));
  }

  #findAccount(version: VersionId): ExposureAccount | undefined {
    const declared = this.#catalogue.findByCandidate(version);
    return declared && this.getAccount(declared.definition.rolloutId);
  }
}

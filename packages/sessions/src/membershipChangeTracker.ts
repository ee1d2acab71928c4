/**
 * Tracks whether members of the local data centre changed recently. If the holders of a pin die or
 * are replaced in short succession while the table is slow, the new owner could take the slow
 * response for "no pin" and start the session anew, which shows as sessions that change version
 * after daemons are killed. For a while after a change, look-ups therefore ask more members and use
 * longer timeouts; at other times they do not bear that cost.
 */
import type { Member } from '@snipehaven/protocol';

export class MembershipChangeTracker {
  readonly #dataCentre: string;

  readonly #windowMs: number;

  /** Starts as changed, since a new daemon does not know about earlier changes. */
  #changedAtMs = Date.now();

  constructor(dataCentre: string, windowMs: number) {
    this.#dataCentre = dataCentre;
    this.#windowMs = windowMs;
  }

  record(member: Member): void {
    if (member.dataCentre === this.#dataCentre) {
      this.#changedAtMs = Date.now();
    }
  }

  get hasRecentChange(): boolean {
    return Date.now() - this.#changedAtMs < this.#windowMs;
  }
}

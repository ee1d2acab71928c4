/**
 * Whether members of the own data centre changed lately. What goes wrong without it: holders of a pin die or
 * are replaced close together, the new owner finds the table slow, takes that for "no pin", and the session
 * starts anew. One notices sessions that change their version after kills. For a while after a change
 * look-ups ask more members and wait longer; at other times nobody pays for it.
 */
import type { Member } from '@snipehaven/protocol';

export class RecentChanges {
  readonly #dataCentre: string;

  readonly #freshMs: number;

  /** A new daemon knows nothing of what went before. */
  #changedAtMs = Date.now();

  constructor(dataCentre: string, freshMs: number) {
    this.#dataCentre = dataCentre;
    this.#freshMs = freshMs;
  }

  note(member: Member): void {
    if (member.dataCentre === this.#dataCentre) {
      this.#changedAtMs = Date.now();
    }
  }

  get areFresh(): boolean {
    return Date.now() - this.#changedAtMs < this.#freshMs;
  }
}

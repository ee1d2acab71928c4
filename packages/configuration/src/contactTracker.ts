/** When this daemon last heard from whom; all moments by the runtime's clock. */

/** What one message of gossip tells of its sender. */
export interface PeerContact {
  /** It has a configuration, and contact with the table at first or second hand. */
  readonly isInContact: boolean;
  /** It has applied more than this daemon. */
  readonly isAhead: boolean;
  readonly tableAgeMs: number | undefined;
}

export class ContactTracker {
  readonly startedAtMs = Date.now();

  /** When the table last answered this daemon or one that it heard from. */
  #tableKnownAtMs: number | undefined;

  /** When this daemon last heard from anyone who could have a higher revision. */
  #aheadAtMs = this.startedAtMs;

  #hasHeardPeer = false;

  #isConfirmed = false;

  /** Whether any peer has been heard since the start. */
  get hasHeardPeer(): boolean {
    return this.#hasHeardPeer;
  }

  /** Whether the table, or a peer in contact with it, has been heard since the start. */
  get isConfirmed(): boolean {
    return this.#isConfirmed;
  }

  noteTable(): void {
    this.#tableKnownAtMs = Date.now();
    this.#aheadAtMs = Date.now();
    this.#isConfirmed = true;
  }

  /**
   * Starts the wait for others anew: a process that was frozen while it booted has not been cut off, it
   * has not listened.
   */
  noteResumed(): void {
    this.#aheadAtMs = Date.now();
  }

  /** Notes that a peer answered, without a word on whom it reaches. */
  noteAnswer(): void {
    this.#hasHeardPeer = true;
  }

  /**
   * Notes a peer's gossip; `tableAgeMs` tells how long ago it knew the table to answer. A peer confirms a
   * configuration only while it is in contact itself: one that is cut off may have booted from an old
   * snapshot.
   */
  notePeer({ isInContact, isAhead, tableAgeMs }: PeerContact): void {
    this.#hasHeardPeer = true;
    this.#isConfirmed ||= isInContact;
    if (isAhead) {
      this.#aheadAtMs = Date.now();
    }
    if (tableAgeMs !== undefined) {
      this.#tableKnownAtMs = Math.max(this.#tableKnownAtMs ?? 0, Date.now() - tableAgeMs);
    }
  }

  /** How long ago the table was known to answer; undefined: never. */
  getTableAgeMs(): number | undefined {
    return this.#tableKnownAtMs === undefined
      ? undefined
      : Math.max(0, Date.now() - this.#tableKnownAtMs);
  }

  /** How long nobody who may know more has been heard. */
  getAloneMs(): number {
    return Date.now() - this.#aheadAtMs;
  }

  isStale(staleAfterMs: number): boolean {
    const ageMs = this.getTableAgeMs() ?? Date.now() - this.startedAtMs;
    return ageMs > staleAfterMs;
  }
}

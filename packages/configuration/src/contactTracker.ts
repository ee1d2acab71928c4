/** Tracks when this daemon last heard from the table and from its peers, by the local clock. */

/** Contact information in a gossip message about its sender. */
export interface PeerContact {
  /**
   * The sender has a configuration, and recent contact with the table, directly or through a peer.
   */
  readonly isInContact: boolean;
  /** The sender has applied a higher revision than this daemon. */
  readonly isAhead: boolean;
  readonly tableAgeMs: number | undefined;
}

export class ContactTracker {
  readonly startedAtMs = Date.now();

  /** Last time at which the table is known to have answered this daemon or a peer. */
  #tableContactAtMs: number | undefined;

  /** Last time at which this daemon heard from a source that may have a higher revision. */
  #newerSourceHeardAtMs = this.startedAtMs;

  #hasHeardPeer = false;

  #isConfirmed = false;

  /** Whether any peer has been heard from since the start. */
  get hasHeardPeer(): boolean {
    return this.#hasHeardPeer;
  }

  /** Whether the table, or a peer in contact with it, has been heard from since the start. */
  get isConfirmed(): boolean {
    return this.#isConfirmed;
  }

  recordTableContact(): void {
    this.#tableContactAtMs = Date.now();
    this.#newerSourceHeardAtMs = Date.now();
    this.#isConfirmed = true;
  }

  /**
   * Restarts the isolation timer: a process that was frozen while booting was not isolated, it
   * merely did not listen.
   */
  recordResume(): void {
    this.#newerSourceHeardAtMs = Date.now();
  }

  /** Records an answer of a peer, which says nothing about whom the peer can reach. */
  recordPeerAnswer(): void {
    this.#hasHeardPeer = true;
  }

  /**
   * Records gossip of a peer; `tableAgeMs` is the time since it knew the table to answer. A peer
   * confirms a configuration only while it is itself in contact with the table, because an isolated
   * peer may have booted from an old snapshot.
   */
  recordPeerGossip({ isInContact, isAhead, tableAgeMs }: PeerContact): void {
    this.#hasHeardPeer = true;
    this.#isConfirmed ||= isInContact;
    if (isAhead) {
      this.#newerSourceHeardAtMs = Date.now();
    }
    if (tableAgeMs !== undefined) {
      this.#tableContactAtMs = Math.max(this.#tableContactAtMs ?? 0, Date.now() - tableAgeMs);
    }
  }

  /** Time since the table was known to answer; undefined if it never was. */
  getTableAgeMs(): number | undefined {
    return this.#tableContactAtMs === undefined
      ? undefined
      : Math.max(0, Date.now() - this.#tableContactAtMs);
  }

  /** Time since this daemon heard from a source that may have a higher revision. */
  getIsolatedMs(): number {
    return Date.now() - this.#newerSourceHeardAtMs;
  }

  isStale(staleAfterMs: number): boolean {
    const ageMs = this.getTableAgeMs() ?? Date.now() - this.startedAtMs;
    return ageMs > staleAfterMs;
  }
}

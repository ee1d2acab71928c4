/** Sessions: conversations of a caller that stay on one version. */
import type { Pin } from '@snipehaven/protocol';

export type { Pin } from '@snipehaven/protocol';

/** Signs and verifies session tokens, which every daemon accepts without keeping state. */
export interface SessionTokens {
  issue(pin: Pin): string;
  /**
   * The pin of a token signed with the current or the previous key; undefined otherwise. With the
   * caller's team, tokens of another team, or of a deleted team of the same name, are rejected too.
   */
  verify(token: string, teamUid?: string): Pin | undefined;
}

/** Pins of callers that send only a session id of their own. */
export interface PinDirectory {
  find(teamUid: string, session: string): Promise<Pin | undefined>;
  /** Stores a pin; resolves with the pin in force, which may be an earlier one. */
  pin(pin: Pin): Promise<Pin>;
}

export interface SessionKey {
  /** Short public name of the key, contained in the token. */
  readonly id: string;
  readonly secret: string;
}

/** Limits and timeouts of the pin directory. */
export interface PinSettings {
  /** How long a pin is kept after its last use. */
  readonly pinLifetimeMs: number;
  /** Pins in the memory of one daemon; the least recently used is evicted first. */
  readonly maxPins: number;
  /**
   * The number of rows that pins are distributed over; must be the same on all daemons and never
   * change.
   */
  readonly bucketCount: number;
  readonly maxPinsPerRow: number;
  readonly flushIntervalMs: number;
  /** Table writes of pins by all daemons together; each daemon gets an equal part. */
  readonly maxTableWritesPerSecond: number;
  readonly maxRowsPerFlush: number;
  /** How long a request waits for the table before it continues without it. */
  readonly tableTimeoutMs: number;
  /** How long requests skip the table after it failed. */
  readonly tableRetryDelayMs: number;
  /** How long a request waits for a holder before it calls the next. */
  readonly peerTimeoutMs: number;
  /**
   * How long an unsuccessful look-up is cached, so that `pin` after `find` does not look up again.
   */
  readonly missTtlMs: number;
  /** How long storing a new pin waits for the copy at the replica. */
  readonly replicaTimeoutMs: number;
  /** How long look-ups use extended timeouts after a change of local members. */
  readonly membershipChangeWindowMs: number;
  /** The table timeout of a look-up with extended timeouts. */
  readonly extendedTableTimeoutMs: number;
  /**
   * The timeout for a holder that is not suspected dead, while it may be looking up with extended
   * timeouts; must exceed the duration of its look-up.
   */
  readonly extendedPeerTimeoutMs: number;
}

/** Sessions: a caller's conversation that keeps its version. */
import type { Pin } from '@snipehaven/protocol';

export type { Pin } from '@snipehaven/protocol';

/** Signs and checks session tokens, which any daemon honours without state. */
export interface SessionTokens {
  issue(pin: Pin): string;
  /**
   * The pin of a genuine token of the current or the previous key; undefined otherwise. Given the
   * caller's team, the token of another team, or of a deleted one of the same name, is refused too.
   */
  verify(token: string, teamUid?: string): Pin | undefined;
}

/** Pins of callers that send only a session id of their own. */
export interface PinDirectory {
  find(teamUid: string, session: string): Promise<Pin | undefined>;
  /** Pins; resolves with the pin in force, which may be an earlier one. */
  pin(pin: Pin): Promise<Pin>;
}

/** A key that signs session tokens. */
export interface SessionKey {
  /** Short public name of the key, which stands in the token. */
  readonly id: string;
  readonly secret: string;
}

/** Bounds and times of the pin directory. */
export interface PinSettings {
  /** How long after its last use a pin is kept. */
  readonly pinLifetimeMs: number;
  /** Pins in the memory of one daemon; the least recently used goes first. */
  readonly maxPins: number;
  /** Rows that all pins are spread over; the same at all daemons for good. */
  readonly bucketCount: number;
  readonly maxPinsPerRow: number;
  readonly flushIntervalMs: number;
  /** Writes of pins by all daemons together, each taking an equal part. */
  readonly maxTableWritesPerSecond: number;
  readonly maxRowsPerFlush: number;
  /** How long a request waits for the table; it then goes on without. */
  readonly tableWaitMs: number;
  /** Pause before the table is asked again after it failed. */
  readonly tableRetryMs: number;
  /** How long a request waits for a holder before it turns to the next. */
  readonly peerWaitMs: number;
  /** For how long a look-up that found nothing counts, so that `pin` after `find` costs no second. */
  readonly missFreshMs: number;
  /** How long a new pin waits for its copy. */
  readonly replicaWaitMs: number;
  /** For how long after a change of local members look-ups are patient. */
  readonly changeFreshMs: number;
  /** How long a patient look-up waits for the table. */
  readonly patientTableWaitMs: number;
  /** How long a request then waits for a holder that is no suspect; longer than its look-up takes. */
  readonly patientPeerWaitMs: number;
}

/** Sessions: a caller's conversation that keeps its version. */
import type { Pin } from '@snipehaven/protocol';

export type { Pin } from '@snipehaven/protocol';

/** Signs and checks session tokens, which any daemon honours without state. */
export interface SessionTokens {
  issue(pin: Pin): string;
  /** The pin of a genuine token of the current or the previous key; undefined otherwise. */
  verify(token: string): Pin | undefined;
}

/** Pins of callers that send only a session id of their own. */
export interface PinDirectory {
  find(teamUid: string, session: string): Promise<Pin | undefined>;
  /** Pins; resolves with the pin in force, which may be an earlier one. */
  pin(pin: Pin): Promise<Pin>;
}

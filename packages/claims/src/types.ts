/** Claims: the right to run a non-idempotent request, taken once for all time. */

export interface ClaimRequest {
  readonly teamUid: string;
  /** The caller's idempotency key. */
  readonly key: string;
  /** SHA-256 of what the request asks for; another body under the same key is refused. */
  readonly bodyHash: string;
  readonly deadlineAtMs: number;
}

/** A claim that this daemon holds. */
export interface Claim {
  readonly rowKey: string;
  /** Differs for each attempt to claim, to recognise one's own write after a lost reply. */
  readonly token: string;
  readonly bodyHash: string;
}

/** The answer that a retry gets. */
export interface StoredAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Text, or base64 of other bytes. */
  readonly body: string;
  readonly encoding: 'utf8' | 'base64';
  readonly version?: string;
}

export type ClaimOutcome =
  | { readonly kind: 'claimed'; readonly claim: Claim }
  | { readonly kind: 'finished'; readonly answer: StoredAnswer }
  | { readonly kind: 'inProgress'; readonly retryAfterMs: number }
  | { readonly kind: 'outcomeUnknown' }
  | { readonly kind: 'differentBody' };

export interface ClaimStore {
  /**
   * Resolves only when it is certain whether the claim is committed. Throws
   * `ClaimsUnavailableError` when the table is away and nothing may be dispatched.
   */
  claim(request: ClaimRequest): Promise<ClaimOutcome>;
  /** Keeps the answer for retries; lasting in the table when it resolves. */
  finish(claim: Claim, answer: StoredAnswer): Promise<void>;
  /** Gives the claim back: proven not run, so that a retry may run. */
  release(claim: Claim): Promise<void>;
  /** Notes that nobody can tell whether it ran. */
  markUnknown(claim: Claim): Promise<void>;
}

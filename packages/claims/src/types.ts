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
  /** Version of the claim's row: rises with each claim of the key, for upstreams that check it. */
  readonly fence: number;
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

/** Bounds and times of the claim store. */
export interface ClaimSettings {
  /** How long a retry finds the answer of a finished claim. */
  readonly answerRetentionMs: number;
  /** How long after its deadline a claim of unknown outcome still refuses a second run. */
  readonly unknownRetentionMs: number;
  /** Larger answers go to the object store. */
  readonly maxInlineAnswerBytes: number;
  /** How long the first claim of a batch waits for others. */
  readonly groupCommitMs: number;
  readonly maxBatch: number;
  readonly maxBatchesInFlight: number;
  readonly maxQueuedTransactions: number;
  /** Claims held or not yet settled in the table; beyond, new ones are refused. */
  readonly maxPendingClaims: number;
  /** How long a request waits to learn whether its claim is committed. */
  readonly maxClaimWaitMs: number;
  /** Pause before a claim is written again after a lost reply. */
  readonly lostReplyRetryMs: number;
  /** First pause before an outcome is written again; doubles up to the maximum. */
  readonly settleRetryMs: number;
  readonly maxSettleRetryMs: number;
  /** How long an answer waits in memory for the table; afterwards the outcome is `unknown`. */
  readonly maxUnwrittenAnswerMs: number;
  /** How long after its deadline a claim of a live owner still counts as in progress. */
  readonly deadlineGraceMs: number;
  /** What a retry is told to wait where nothing better is known. */
  readonly retryAfterMs: number;
  readonly cleanUpPageRows: number;
  /** Rows deleted by one call of `cleanUp`, each a write of the table's budget. */
  readonly cleanUpMaxDeletes: number;
}

/** Claims ensure that a non-idempotent request runs at most once. */

export interface ClaimRequest {
  readonly teamUid: string;
  /** The caller's idempotency key. */
  readonly key: string;
  /** SHA-256 of the request content; a different body under the same key is refused. */
  readonly bodyHash: string;
  readonly deadlineAtMs: number;
}

/** A claim held by this daemon. */
export interface Claim {
  readonly rowKey: string;
  /** Unique per claim attempt; identifies the attempt's own write after a lost reply. */
  readonly token: string;
  readonly bodyHash: string;
  /** Fencing token: the row version, which rises with each claim of the key, for upstreams that check it. */
  readonly fence: number;
}

/** The answer returned to retries. */
export interface StoredAnswer {
  readonly status: number;
  readonly contentType: string;
  /** UTF-8 text, or base64 for binary content. */
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
   * Resolves only once it is known whether the claim is committed. Throws `ClaimsUnavailableError` if
   * no claim could be acquired, for example during a table outage; nothing may be dispatched then.
   */
  claim(request: ClaimRequest): Promise<ClaimOutcome>;
  /** Stores the answer for retries; durable in the table once it resolves. */
  finish(claim: Claim, answer: StoredAnswer): Promise<void>;
  /** Releases a claim whose request is proven not to have run, so that a retry may run. */
  release(claim: Claim): Promise<void>;
  /** Records that it is unknown whether the request ran. */
  markUnknown(claim: Claim): Promise<void>;
}

/** Limits and intervals of the claim store. */
export interface ClaimSettings {
  /** Retention period of the answer of a finished claim. */
  readonly answerRetentionMs: number;
  /** Time after the deadline for which a claim with an unknown outcome blocks a second run. */
  readonly unknownRetentionMs: number;
  /** Larger answers are stored in the object store. */
  readonly maxInlineAnswerBytes: number;
  /** Time the first transaction of a batch waits for others. */
  readonly groupCommitMs: number;
  readonly maxBatch: number;
  readonly maxBatchesInFlight: number;
  readonly maxQueuedTransactions: number;
  /** Maximum number of claims that are held or not yet settled in the table; more are refused. */
  readonly maxPendingClaims: number;
  /** Maximum time a request waits for its claim to commit. */
  readonly maxClaimWaitMs: number;
  /** Delay before a claim write is retried after a lost reply. */
  readonly lostReplyRetryMs: number;
  /** Initial retry delay for outcome writes; doubles up to the maximum. */
  readonly settleRetryMs: number;
  readonly maxSettleRetryMs: number;
  /** Maximum time an unwritten answer is held in memory; after it the outcome becomes `unknown`. */
  readonly maxUnwrittenAnswerMs: number;
  /** Time after the deadline for which a claim of a live owner still counts as in progress. */
  readonly deadlineGraceMs: number;
  /** Default retry delay returned to callers. */
  readonly retryAfterMs: number;
  readonly cleanUpPageRows: number;
  /** Maximum rows deleted per `cleanUp` call; each counts towards the table's write budget. */
  readonly cleanUpMaxDeletes: number;
}

/** Types of limits and admission control. */
import type { Random, TeamId } from '@snipehaven/common';

/** A rate limit with a burst, in any unit: requests, tokens or micro-dollars. */
export interface TokenBucketLimit {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/**
 * State of a token bucket. The balance is negative after a request that cost more than it reserved.
 */
export interface TokenBucketState {
  readonly tokens: number;
  readonly updatedAtMs: number;
}

/** Result of taking tokens; if there are too few, when there will be enough. */
export interface TokenDecision {
  readonly state: TokenBucketState;
  readonly isAllowed: boolean;
  /** 0 if allowed; Infinity if the amount exceeds the burst. */
  readonly waitMs: number;
}

/** Amounts by member, which is identified by the daemon's VM name. */
export type AmountsByMember = Readonly<Record<string, number>>;

/** Identifies the last answer that a member has adopted to the allocator that sent it. */
export interface ShareAnswerRef {
  readonly term: number;
  /** By the allocator's clock. */
  readonly answeredAtMs: number;
}

/**
 * A member's request for its share of one limit. Sent at a fixed interval, whether or not the
 * previous one was answered.
 */
export interface ShareRequest {
  readonly member: string;
  /**
   * Increases with each request. It starts from the clock, so that it also increases over restarts.
   */
  readonly seq: number;
  readonly demand: number;
  /** The share in force at the member, or the amount in use if that is larger. */
  readonly heldShare: number;
  /** The share that the member falls back to when it is partitioned from the allocator. */
  readonly fixedShare: number;
  readonly lastAnswer?: ShareAnswerRef;
}

/** The allocator's answer to a request. */
export interface ShareGrant {
  readonly member: string;
  /** Sequence number of the request. */
  readonly seq: number;
  readonly term: number;
  readonly share: number;
  /** Lease duration, counted from the moment at which the member sent the request. */
  readonly ttlMs: number;
  readonly answeredAtMs: number;
}

/** A member's state for its share of one limit. */
export interface ShareHolder {
  readonly member: string;
  readonly fixedShare: number;
  readonly seq: number;
  readonly requestSentAtMs: number;
  readonly share: number;
  readonly shareUntilMs: number;
  /** Without a newer answer, the fixed share is in force from this time on. */
  readonly fallBackAtMs: number;
  readonly lastAnswer?: ShareAnswerRef;
}

/** An allocator's state for one member. */
export interface ShareMember {
  readonly seq: number;
  readonly demand: number;
  readonly fixedShare: number;
  /** The largest share that may be in force at the member until `outstandingUntilMs`. */
  readonly outstanding: number;
  readonly outstandingUntilMs: number;
  /** The member has promised not to fall back to its fixed share before this time. */
  readonly noFallbackBeforeMs: number;
  readonly lastRequestAtMs: number;
}

/**
 * State of the allocator of one limit. The allocator is the daemon that holds the lease whose
 * fencing number is `term`.
 */
export interface ShareAllocator {
  readonly total: number;
  readonly term: number;
  /** End of the allocator's lease, less the margin for clock drift; no grant outlasts it. */
  readonly termEndsAtMs: number;
  readonly members: Readonly<Record<string, ShareMember>>;
  /** Shares are multiples of this amount, as for slots; unset allows any amount. */
  readonly quantum?: number;
}

/** A request as seen by admission control. */
export interface AdmissionRequest {
  readonly id: string;
  readonly team: TeamId;
  /** Weight of the team relative to other teams, greater than 0. */
  readonly weight: number;
  /** From 0, the lowest, to 9; orders only the requests of one team. */
  readonly priority: number;
  /** Expected work, in units of an average request. */
  readonly cost: number;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
}

/** Running and queued requests of one team, and its position in the fair queueing order. */
export interface TeamQueue {
  readonly weight: number;
  readonly running: number;
  /** Virtual time at which the team's next request starts. */
  readonly startTag: number;
  /** By descending priority, then by arrival. */
  readonly waiting: readonly AdmissionRequest[];
}

/** Running and queued requests of one daemon. */
export interface AdmissionState {
  readonly running: number;
  readonly queued: number;
  readonly virtualTime: number;
  readonly teams: Readonly<Record<string, TeamQueue>>;
  /** Moving average of the time for which one unit of cost occupies a slot; 0 while unknown. */
  readonly serviceMs: number;
  /** Exponentially decayed count of refusals, which estimates how many callers will return. */
  readonly recentRefusals: number;
  readonly refusalsAtMs: number;
}

/** Capacity of admission control. */
export interface AdmissionSettings {
  /** Maximum number of concurrent requests: the sum of the upstreams' limits. */
  readonly maxRunning: number;
  readonly maxQueued: number;
}

/** Why a request is refused before it has run anywhere. */
export type AdmissionRefusalReason = 'queueFull' | 'tooLate';

/** A refusal to be sent to the caller at once. The request's verdict is `notRun`. */
export interface AdmissionRefusal {
  readonly request: AdmissionRequest;
  readonly reason: AdmissionRefusalReason;
  readonly retryAfterMs: number;
}

/** Decision about a new request. */
export type AdmissionDecision =
  | { readonly kind: 'run' }
  | { readonly kind: 'queue'; readonly expectedWaitMs: number }
  | {
      readonly kind: 'refuse';
      readonly reason: AdmissionRefusalReason;
      readonly retryAfterMs: number;
    };

/**
 * The decision about a new request, and the queued requests that were evicted for it; these must be
 * answered at once too.
 */
export interface AdmissionResult {
  readonly state: AdmissionState;
  readonly decision: AdmissionDecision;
  readonly displaced: readonly AdmissionRefusal[];
}

/** The next request to run, and the queued requests that were shed. */
export interface AdmissionNext {
  readonly state: AdmissionState;
  readonly next?: AdmissionRequest;
  readonly refused: readonly AdmissionRefusal[];
}

/** Input of the retry delay of a refused caller. */
export interface RetryAfterInput {
  readonly queued: number;
  readonly drainPerSecond: number;
  readonly recentRefusals: number;
  readonly random: Random;
}

/** What limits and admission read and answer. */
import type { Random, TeamId } from '@snipehaven/common';

/** A rate with a burst, in any unit: requests, tokens or micro-dollars. */
export interface TokenBucketLimit {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** A token bucket; below 0 after a request that cost more than was reserved for it. */
export interface TokenBucketState {
  readonly tokens: number;
  readonly updatedAtMs: number;
}

/** Whether tokens were taken, and if not, when there will be enough. */
export interface TokenDecision {
  readonly state: TokenBucketState;
  readonly isAllowed: boolean;
  /** 0 when allowed; Infinity when the burst can never hold the amount. */
  readonly waitMs: number;
}

/** Amounts by member (a daemon's VM name). */
export type AmountsByMember = Readonly<Record<string, number>>;

/** An answer that a member has adopted, named to the allocator that gave it. */
export interface ShareAnswerRef {
  readonly term: number;
  /** By the allocator's clock. */
  readonly answeredAtMs: number;
}

/** A member's request for its share of one limit. Sent at a steady pace, answered or not. */
export interface ShareRequest {
  readonly member: string;
  /** Rises with each request, over restarts too: it starts from the clock. */
  readonly seq: number;
  readonly demand: number;
  /** The share in force at the member, or more where that much is in use. */
  readonly heldShare: number;
  /** What the member falls back to when it is cut off. */
  readonly fixedShare: number;
  readonly lastAnswer?: ShareAnswerRef;
}

/** The allocator's answer. */
export interface ShareGrant {
  readonly member: string;
  /** The request's. */
  readonly seq: number;
  readonly term: number;
  readonly share: number;
  /** Lasts so long from the moment the member sent the request. */
  readonly ttlMs: number;
  readonly answeredAtMs: number;
}

/** A member's side of one limit's share. */
export interface ShareHolder {
  readonly member: string;
  readonly fixedShare: number;
  readonly seq: number;
  readonly requestSentAtMs: number;
  readonly share: number;
  readonly shareUntilMs: number;
  /** From then on, without a newer answer, the fixed share is in force. */
  readonly fallBackAtMs: number;
  readonly lastAnswer?: ShareAnswerRef;
}

/** What an allocator knows of one member. */
export interface ShareMember {
  readonly seq: number;
  readonly demand: number;
  readonly fixedShare: number;
  /** The most that may be in force there until `outstandingUntilMs`. */
  readonly outstanding: number;
  readonly outstandingUntilMs: number;
  /** The member does not fall back before this time. */
  readonly noFallBackBeforeMs: number;
  readonly heardAtMs: number;
}

/** The allocator of one limit: one daemon, while it holds the lease that `term` counts. */
export interface ShareAllocator {
  readonly total: number;
  readonly term: number;
  /** When its lease ends, less the margin for clocks; no grant outlasts it. */
  readonly termEndsAtMs: number;
  readonly members: Readonly<Record<string, ShareMember>>;
  /** Shares are multiples of it, as with slots; any amount if left out. */
  readonly quantum?: number;
}

/** A request as admission sees it. */
export interface AdmissionRequest {
  readonly id: string;
  readonly team: TeamId;
  /** The team's weight among teams, above 0. */
  readonly weight: number;
  /** 0 lowest to 9; orders requests of one team only. */
  readonly priority: number;
  /** Expected work in units of a usual request. */
  readonly cost: number;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
}

/** The requests of one team that run and wait, and the team's place in the fair order. */
export interface TeamQueue {
  readonly weight: number;
  readonly running: number;
  /** Virtual time at which the next request of the team starts. */
  readonly startTag: number;
  /** By falling priority, then by arrival. */
  readonly waiting: readonly AdmissionRequest[];
}

/** Running and waiting requests of one daemon. */
export interface AdmissionState {
  readonly running: number;
  readonly queued: number;
  readonly virtualTime: number;
  readonly teams: Readonly<Record<string, TeamQueue>>;
  /** Moving average of the time that one unit of cost holds its slot; 0 while unknown. */
  readonly serviceMs: number;
  /** Refusals, fading with time: the callers that will come back. */
  readonly recentRefusals: number;
  readonly refusalsAtMs: number;
}

/** The room that admission has. */
export interface AdmissionSettings {
  /** Requests that may run at once: what the upstreams' limits add up to. */
  readonly maxRunning: number;
  readonly maxQueued: number;
}

/** Why a request is refused before anything ran. */
export type AdmissionRefusalReason = 'queueFull' | 'tooLate';

/** A request that gets its final answer now. Its verdict is `notRun`. */
export interface AdmissionRefusal {
  readonly request: AdmissionRequest;
  readonly reason: AdmissionRefusalReason;
  readonly retryAfterMs: number;
}

/** What becomes of a new request. */
export type AdmissionDecision =
  | { readonly kind: 'run' }
  | { readonly kind: 'queue'; readonly expectedWaitMs: number }
  | {
      readonly kind: 'refuse';
      readonly reason: AdmissionRefusalReason;
      readonly retryAfterMs: number;
    };

/** The decision, and requests that had to make room for it: answer these at once too. */
export interface AdmissionResult {
  readonly state: AdmissionState;
  readonly decision: AdmissionDecision;
  readonly displaced: readonly AdmissionRefusal[];
}

/** The next request to run, and those given up while they waited. */
export interface AdmissionNext {
  readonly state: AdmissionState;
  readonly next?: AdmissionRequest;
  readonly refused: readonly AdmissionRefusal[];
}

/** What the time for a refused caller to come back depends on. */
export interface RetryAfterInput {
  readonly queued: number;
  readonly drainPerSecond: number;
  readonly recentRefusals: number;
  readonly random: Random;
}

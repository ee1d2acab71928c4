/** Types of the upstream choice. */
import type { DataCentreId, Random, UpstreamId } from '@snipehaven/common';

/** One upstream from the point of view of a daemon. */
export interface UpstreamView {
  readonly id: UpstreamId;
  readonly dataCentre: DataCentreId;
  /** This daemon's requests in flight at the upstream. */
  readonly inFlight: number;
  /** Those of them that were sent after the last load report was taken. */
  readonly sentSinceReport: number;
  /** Requests of all daemons in the engine's batch according to its last load report. */
  readonly reportedRunning: number;
  /** Requests waiting at the engine according to the same report. */
  readonly reportedQueued: number;
  /** When the engine took that report, by this daemon's clock; 0 without a report. */
  readonly reportAtMs: number;
  /** Adaptive limit of the requests in flight of all daemons. */
  readonly maxConcurrency: number;
  /** This daemon's part of the upstream's slots, from `assignOwnSlots`; ignored if unset. */
  readonly ownSlots?: number;
  /** Moving average of the time to the first token; 0 while unknown. */
  readonly firstTokenMs: number;
  /** 0 if healthy; ejected while in the future; if in the past, one probe at a time may be sent. */
  readonly ejectedUntilMs: number;
  /** Start of the slow start of a new or returning upstream; 0 if it was long ago. */
  readonly slowStartSinceMs: number;
  /** According to the VM list or to the engine itself, whichever came first. */
  readonly isLeaving: boolean;
  /**
   * Whether the engine's cache events show that it holds the request's prefix. A hint that may be
   * outdated.
   */
  readonly hasPrefixCached: boolean;
}

/** Rules for choosing among usable upstreams. */
export type UpstreamChoiceRule = 'twoChoices' | 'interpretedLoad';

/** Rules for sending requests with a common prefix to the same upstreams. */
export type AffinityRule = 'boundedOwner' | 'warmSet' | 'spreadOwners';

/** Input of the choice for one request. */
export interface UpstreamChoiceInput {
  readonly upstreams: readonly UpstreamView[];
  readonly sessionKey?: string;
  /**
   * Identifies the request's prompt prefix; requests with the same prefix are sent to the same
   * upstreams.
   */
  readonly prefixKey?: string;
  /** The prefix's share of this daemon's requests; see `countPrefix`. */
  readonly prefixShare?: number;
  readonly localDataCentre: DataCentreId;
  readonly nowMs: number;
  readonly random: Random;
  /** Upstreams that this request has already been sent to. */
  readonly excludedIds?: readonly UpstreamId[];
  /** Number of daemons that send to the same upstreams, including this one; defaults to 1. */
  readonly daemonCount?: number;
  /** Requests per second that this daemon sends to these upstreams; defaults to 0. */
  readonly ownRequestsPerSecond?: number;
  /** Whether the request may be used to probe a returning upstream; defaults to true. */
  readonly canProbe?: boolean;
  readonly rule?: UpstreamChoiceRule;
  readonly affinityRule?: AffinityRule;
}

/** Reason for the choice, shown in the timeline. */
export type UpstreamChoiceReason =
  'affinity' | 'ownSlot' | 'leastLoaded' | 'onlyCandidate' | 'probe' | 'otherDataCentre';

export interface UpstreamChoice {
  readonly upstream: UpstreamId;
  readonly reason: UpstreamChoiceReason;
}

/** Picks one upstream; there is at least one candidate. */
export interface UpstreamChoiceHandler {
  choose(candidates: readonly UpstreamView[], input: UpstreamChoiceInput): UpstreamView;
}

/** Finds the upstream that owns a key, if any can take the request. */
export interface AffinityHandler {
  findOwner(
    key: string,
    candidates: readonly UpstreamView[],
    input: UpstreamChoiceInput,
  ): UpstreamView | undefined;
}

/** Decaying counts of a daemon's requests by prefix. */
export interface PrefixCounts {
  readonly counts: ReadonlyMap<string, number>;
  readonly total: number;
}

/** Outcome of an attempt with respect to the upstream's health. */
export type OutcomeKind =
  /** The upstream answered, or the attempt failed because of the caller. */
  | 'succeeded'
  /** The upstream refused for lack of capacity before anything ran: busy but healthy. */
  | 'refused'
  /** The answer was an error, empty or truncated. */
  | 'failed'
  /** No byte arrived within the timeout. */
  | 'timedOut'
  /** No connection could be established. */
  | 'unreachable';

/** A daemon's record of one upstream's health. */
export interface UpstreamHealth {
  readonly consecutiveFailures: number;
  /** Start of the current window, the outcomes in it and the failures among them. */
  readonly windowStartedAtMs: number;
  readonly windowOutcomes: number;
  readonly windowFailures: number;
  /** Consecutive ejections, which lengthen the next one. */
  readonly ejections: number;
  /** See {@link UpstreamView.ejectedUntilMs}. */
  readonly ejectedUntilMs: number;
  /** See {@link UpstreamView.slowStartSinceMs}. */
  readonly slowStartSinceMs: number;
}

/** The pool of an upstream whose outcome is recorded. */
export interface PoolStatus {
  /** Number of upstreams in the pool, including this one. */
  readonly poolSize: number;
  /** Number of other upstreams in the pool with a non-zero `ejectedUntilMs`. */
  readonly ejectedCount: number;
  readonly random: Random;
}

/** Adaptive limit of an upstream's requests in flight from all daemons. */
export interface ConcurrencyState {
  readonly limit: number;
  /** Moving minimum of the time to the first token. */
  readonly baseFirstTokenMs: number;
  /** Short-term moving average of the time to the first token. */
  readonly recentFirstTokenMs: number;
  /** Samples since the gradient rule last adjusted the limit. */
  readonly samples: number;
}

/** Sample of one completed attempt for the adaptive limit. */
export interface ConcurrencySample {
  readonly firstTokenMs: number;
  /** The upstream's known load from all daemons when the request was sent. */
  readonly load: number;
  /** From the upstream's last load report; 0 without one. */
  readonly reportedRunning: number;
  readonly reportedQueued: number;
  /** The upstream refused for lack of capacity, or timed out. */
  readonly isRefused: boolean;
}

/** Rules for adapting the limit to the samples. */
export type ConcurrencyRule = 'aimd' | 'gradient' | 'reported';

/** Adjusts the limit by one sample. */
export interface ConcurrencyHandler {
  adjust(state: ConcurrencyState, sample: ConcurrencySample): ConcurrencyState;
}

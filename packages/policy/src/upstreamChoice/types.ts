/** What the choice of an upstream reads and answers. */
import type { DataCentreId, Random, UpstreamId } from '@snipehaven/common';

/** One upstream as a daemon sees it. */
export interface UpstreamView {
  readonly id: UpstreamId;
  readonly dataCentre: DataCentreId;
  /** This daemon's own requests at the upstream now. */
  readonly inFlight: number;
  /** Of these, the ones sent after the last load report was taken. */
  readonly sentSinceReport: number;
  /** Requests in the engine's batch by its last load report, from all daemons. */
  readonly reportedRunning: number;
  /** Requests waiting at the engine by the same report. */
  readonly reportedQueued: number;
  /** When the engine took that report, by this daemon's clock; 0 without a report. */
  readonly reportAtMs: number;
  /** The adaptive limit of the upstream's requests in flight, from all daemons together. */
  readonly maxConcurrency: number;
  /** This daemon's part of the upstream's slots, by `assignOwnSlots`; unused if left out. */
  readonly ownSlots?: number;
  /** Moving average of the time to the first token; 0 while unknown. */
  readonly firstTokenMs: number;
  /** 0: healthy; in the future: ejected; in the past: one probe at a time may go there. */
  readonly ejectedUntilMs: number;
  /** When the upstream was new or came back; 0: long ago. */
  readonly slowStartSinceMs: number;
  /** By the VM list or the engine's own word, whichever came first. */
  readonly isLeaving: boolean;
  /** The engine's cache events say that it holds the request's prefix; a late hint. */
  readonly hasPrefixCached: boolean;
}

/** The rules a choice among usable upstreams can be made by. */
export type UpstreamChoiceRule = 'twoChoices' | 'interpretedLoad';

/** The rules by which requests with a common prefix go together. */
export type AffinityRule = 'boundedOwner' | 'warmSet' | 'spreadOwners';

/** One request's choice. */
export interface UpstreamChoiceInput {
  readonly upstreams: readonly UpstreamView[];
  readonly sessionKey?: string;
  /** Names the request's prompt prefix; requests with the same one go together. */
  readonly prefixKey?: string;
  /** The prefix's share of this daemon's requests; see `countPrefix`. */
  readonly prefixShare?: number;
  readonly localDataCentre: DataCentreId;
  readonly nowMs: number;
  readonly random: Random;
  /** Upstreams that this request was already sent to. */
  readonly excludedIds?: readonly UpstreamId[];
  /** Daemons that send to the same upstreams, this one included; 1 if left out. */
  readonly daemonCount?: number;
  /** Requests per second that this daemon sends to these upstreams; 0 if left out. */
  readonly ownRequestsPerSecond?: number;
  /** Whether the request may test an upstream that comes back; true if left out. */
  readonly canProbe?: boolean;
  readonly rule?: UpstreamChoiceRule;
  readonly affinityRule?: AffinityRule;
}

/** Why the upstream was taken, for the time line. */
export type UpstreamChoiceReason =
  'affinity' | 'ownSlot' | 'leastLoaded' | 'onlyCandidate' | 'probe' | 'otherDataCentre';

/** The chosen upstream. */
export interface UpstreamChoice {
  readonly upstream: UpstreamId;
  readonly reason: UpstreamChoiceReason;
}

/** Picks one of at least one usable upstream. */
export interface UpstreamChoiceHandler {
  choose(candidates: readonly UpstreamView[], input: UpstreamChoiceInput): UpstreamView;
}

/** Finds the upstream that requests with a key go to, if one has room. */
export interface AffinityHandler {
  findOwner(
    key: string,
    candidates: readonly UpstreamView[],
    input: UpstreamChoiceInput,
  ): UpstreamView | undefined;
}

/** Fading counts of a daemon's requests by prefix. */
export interface PrefixCounts {
  readonly counts: ReadonlyMap<string, number>;
  readonly total: number;
}

/** How one attempt at an upstream ended, as far as the upstream's health is concerned. */
export type OutcomeKind =
  /** It answered, or failed through the caller's fault. */
  | 'succeeded'
  /** It refused for want of room before anything ran: busy, not ill. */
  | 'refused'
  /** Its answer was an error, empty or cut off. */
  | 'failed'
  /** No byte within the timeout. */
  | 'timedOut'
  /** No connection could be made. */
  | 'unreachable';

/** What a daemon remembers of one upstream's health. */
export interface UpstreamHealth {
  readonly consecutiveFailures: number;
  /** Outcomes of the current window and the failures among them. */
  readonly windowStartedAtMs: number;
  readonly windowOutcomes: number;
  readonly windowFailures: number;
  /** Ejections in a row, which lengthen the next one. */
  readonly ejections: number;
  /** See {@link UpstreamView.ejectedUntilMs}. */
  readonly ejectedUntilMs: number;
  /** See {@link UpstreamView.slowStartSinceMs}. */
  readonly slowStartSinceMs: number;
}

/** The pool around an upstream whose outcome is recorded. */
export interface PoolSituation {
  /** Upstreams of the pool, this one included. */
  readonly poolSize: number;
  /** Of them, those with an `ejectedUntilMs` other than 0, this one left out. */
  readonly ejectedCount: number;
  readonly random: Random;
}

/** The adaptive limit of one upstream's requests in flight, from all daemons together. */
export interface ConcurrencyState {
  readonly limit: number;
  /** Moving minimum of the time to the first token. */
  readonly baseFirstTokenMs: number;
  /** Short moving average of the same. */
  readonly recentFirstTokenMs: number;
  /** Samples since the gradient last moved the limit. */
  readonly samples: number;
}

/** One finished attempt, as the adaptive limit sees it. */
export interface ConcurrencySample {
  readonly firstTokenMs: number;
  /** The upstream's known load, from all daemons, when the request was sent. */
  readonly load: number;
  /** The upstream's last load report; 0 without one. */
  readonly reportedRunning: number;
  readonly reportedQueued: number;
  /** It refused for want of room, or timed out. */
  readonly isRefused: boolean;
}

/** The rules by which the limit can follow its samples. */
export type ConcurrencyRule = 'aimd' | 'gradient' | 'reported';

/** Moves the limit by one sample. */
export interface ConcurrencyHandler {
  adjust(state: ConcurrencyState, sample: ConcurrencySample): ConcurrencyState;
}

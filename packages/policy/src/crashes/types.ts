/** Types of the reports of crashes that daemons exchange in messages. */
import type { RequestDigest } from '@snipehaven/common';

/**
 * How strongly a crash suggests that a request caused it. `strong`: the request was about to run or
 * had just started, and nothing else explains the crash. `weak`: it had been running for a while,
 * or the upstream was leaving.
 */
export type Suspicion = 'strong' | 'weak';

export interface Suspect {
  readonly digest: RequestDigest;
  /** The caller's attempt that sent the request to this upstream. */
  readonly attemptId: string;
  readonly suspicion: Suspicion;
  /** Time in ms from the sending of the request until the crash was noticed; undefined if it is not told. */
  readonly sentForMs?: number;
  /** Requests of the reporting daemon with this part that were in flight on other upstreams. */
  readonly elsewhere?: number;
}

/** Crash of one incarnation of an upstream, with the requests that one daemon had there. */
export interface CrashReport {
  readonly lifeId: string;
  readonly suspects: readonly Suspect[];
  /** All requests of the reporting daemon with parts that were in flight on other upstreams. */
  readonly inFlightElsewhere?: number;
}

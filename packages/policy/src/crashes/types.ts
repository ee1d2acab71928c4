/** What daemons tell each other of upstreams that ended. */
import type { RequestDigest } from '@snipehaven/common';

/**
 * How much an upstream's end says against a request that was there. `strong`: it was about to run or had
 * just begun, and nothing else explains the end. `weak`: it had run for a while, or the upstream was leaving.
 */
export type Suspicion = 'strong' | 'weak';

export interface Suspect {
  readonly digest: RequestDigest;
  /** The caller's attempt that brought it there. */
  readonly attemptId: string;
  readonly suspicion: Suspicion;
}

/** One life of an upstream ended, with these requests of one daemon. */
export interface EndReport {
  readonly lifeId: string;
  readonly suspects: readonly Suspect[];
}

/** Requests that are held back because upstreams ended under them. */
import type { RequestDigest } from '@snipehaven/common';

export interface Hold {
  readonly digest: RequestDigest;
  /** Lives of upstreams that ended under it. */
  readonly lives: readonly string[];
  /** On this daemon's steady clock. */
  readonly sinceMs: number;
  readonly untilMs: number;
}

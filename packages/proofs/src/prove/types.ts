/** Proofs that can fail: the same events with a mechanism taken away, and as shipped. */
import type { WorldOptions } from '../harness/index.js';
import type { FuzzStep } from '../fuzz/commands.js';

/** One promise with the mechanism that keeps it. */
export interface Proof {
  readonly promise: string;
  readonly mechanism: string;
  /** What goes wrong in the run. */
  readonly faults: string;
  /** Where the mechanism stands. */
  readonly file: string;
  readonly steps: readonly FuzzStep[];
  /** The wiring without the mechanism. */
  readonly sabotage: Partial<WorldOptions>;
  /** What the run without the mechanism must break. */
  readonly expected: RegExp;
}

export interface ProofResult {
  readonly proof: Proof;
  readonly without: readonly string[];
  readonly shipped: readonly string[];
  readonly isProved: boolean;
}

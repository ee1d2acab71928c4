/** Policies that lead a candidate through its roll-out. */
import type { OutcomeCounts } from '@snipehaven/policy';

/** What a policy sees at each tick. */
export interface RolloutView {
  readonly tick: number;
  readonly daemonCount: number;
  readonly candidate: readonly OutcomeCounts[];
  readonly stable: readonly OutcomeCounts[];
  readonly ratingCount: number;
  /** Score differences of prompts that both versions answered. */
  readonly pairCounts: readonly number[];
  /** Candidate answers started, by daemon. */
  readonly exposed: readonly number[];
  /** Candidate answers with a known outcome, by daemon. */
  readonly judged: readonly number[];
}

/** Where a new request goes. */
export interface RolloutRoute {
  readonly isCandidate: boolean;
  /** The candidate answers too, and nobody sees it. */
  readonly isShadow: boolean;
}

export type RolloutEnd = 'quarantined' | 'finished';

/** One roll-out under one policy. */
export interface RolloutRun {
  /** Called once a tick, before its requests. */
  readonly advance: (view: RolloutView) => void;
  readonly route: (daemon: number, nextRandom: number, view: RolloutView) => RolloutRoute;
  /** Set once daemons know that it has ended. */
  readonly getEnd: () => RolloutEnd | undefined;
}

/** A policy under test. */
export interface RolloutPolicy {
  readonly name: string;
  readonly createRun: (daemonCount: number) => RolloutRun;
}

export const toStable: RolloutRoute = { isCandidate: false, isShadow: false };
export const toCandidate: RolloutRoute = { isCandidate: true, isShadow: false };

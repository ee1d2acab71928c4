/** What is played of requests that crash upstreams, and what is counted. */

export interface CrashPlan {
  readonly daemons: number;
  readonly upstreams: number;
  /** Requests that crash whichever upstream begins to run them, and that come again and again. */
  readonly deadly: number;
  /** Between arrivals of a deadly one, and how many come at once. */
  readonly gapMs: number;
  readonly atOnce: number;
  /** Crashes of upstreams without any request to blame, each `groupSize` at once. */
  readonly chanceEnds: number;
  readonly groupSize: number;
  readonly ordinaryPerS: number;
  readonly seed: number;
}

/** Mechanisms that can be left out. */
export interface CrashSwitches {
  /** Requests under which an upstream crashed go each its own way. */
  readonly goApart: boolean;
}

export interface CrashOutcome {
  /** Upstreams that crashed under a deadly request. */
  readonly ended: number;
  /** The most that crashed under one of them. */
  readonly endedByOne: number;
  /** Deadly sendings that reached an upstream later than the contact time after the third crash. */
  readonly lateSendings: number;
  /** Until the last daemon had held back the request whose third crash had come, the worst, in ms. */
  readonly heldAfterMs: number;
  readonly ordinary: number;
  /** Ordinary requests that some daemon held back. */
  readonly heldWrongly: number;
  /** Ordinary requests that got no whole answer at either of their two attempts. */
  readonly lost: number;
}

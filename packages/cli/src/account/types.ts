/** What the account reads from daemons' lines, and what it tells. */

/** Where a request's time went, by the step that took most of it. */
export type Delay = 'here' | 'firstRun' | 'secondRun' | 'failedRuns' | 'pauses';

/** What became of a request that its caller did not get in time. */
export type Trouble = 'late' | 'refused' | 'callerGone';

/** One sending to an upstream, as told by its lines. */
export interface Run {
  readonly upstream: string;
  readonly model?: string;
  /** In ms since the request's arrival. */
  readonly sentMs: number;
  /** In ms since the Unix epoch. */
  readonly sentAtMs: number;
  readonly expectedMs?: number;
  /** Until the upstream's answer began, as far as told. */
  upstreamMs?: number;
  /** In ms since the request's arrival; absent while it runs, or where no line tells its end. */
  endMs?: number;
}

export interface RequestStory {
  readonly request: string;
  readonly route: string;
  readonly runs: Run[];
  /** Confidence at which the largest model was asked. */
  confidence?: number;
  /** What was expected of it then, in ms. */
  expectedStartMs?: number;
  trouble?: Trouble;
  /** Why it was refused. */
  reason?: string;
  beganMs?: number;
  targetMs?: number;
  endMs?: number;
}

export interface TroubledRequest {
  readonly request: string;
  readonly route: string;
  readonly trouble: Trouble;
  readonly delay: Delay;
  readonly tookMs: number;
  readonly targetMs?: number;
  /** The decision that put the time there, with its inputs. */
  readonly decision: string;
}

export interface RouteAccount {
  readonly route: string;
  readonly requests: number;
  readonly troubled: Readonly<Record<Trouble, number>>;
  readonly delays: Readonly<Record<Delay, number>>;
}

/** Requests at one upstream over time. */
export interface UpstreamLoadLine {
  readonly upstream: string;
  readonly runs: number;
  readonly values: readonly number[];
}

export interface Account {
  readonly routes: readonly RouteAccount[];
  readonly troubled: readonly TroubledRequest[];
  readonly fromMs: number;
  readonly bucketMs: number;
  readonly loads: readonly UpstreamLoadLine[];
  /** Lines that were read and are no lines of a daemon. */
  readonly skippedLines: number;
}

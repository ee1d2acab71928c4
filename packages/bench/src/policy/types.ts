/** What the bench of the decisions runs and prints. */

/** One line of results: one policy in one scenario. Null where a figure has no meaning. */
export interface BenchRow {
  readonly scenario: string;
  readonly policy: string;
  /** Micro-USD for all requests, ratings included, per answer of the streams that met their target. */
  readonly costPerAnswerAtTarget: number | null;
  readonly teamsAtTargetPct: number | null;
  readonly p50Ms: number | null;
  readonly p95Ms: number | null;
  /** Answers of the bad version that reached a caller, over all daemons. */
  readonly exposed: number | null;
  readonly falseAlarmPct: number | null;
  /** Answers within their deadline, of all requests. */
  readonly goodputPct: number | null;
  /** Jain's index of the teams' goodput. */
  readonly fairness: number | null;
  /** Only for roll-outs of a good version: mean time until it has all traffic. */
  readonly minutesToFull?: number | null;
  /** Only for roll-outs: answers made for the comparison alone, seen by nobody. */
  readonly shadowAnswers?: number | null;
}

/** A situation in which several policies are compared. */
export interface Scenario {
  readonly name: string;
  /** The same seed gives the same rows; all earlier rounds of ours take part, or only the last. */
  readonly run: (seed: number, withAllRounds: boolean) => readonly BenchRow[];
}

/** A row of which most figures have no meaning. */
export const createRow = (
  scenario: string,
  policy: string,
  figures: Partial<Omit<BenchRow, 'scenario' | 'policy'>>,
): BenchRow => ({
  scenario,
  policy,
  costPerAnswerAtTarget: null,
  teamsAtTargetPct: null,
  p50Ms: null,
  p95Ms: null,
  exposed: null,
  falseAlarmPct: null,
  goodputPct: null,
  fairness: null,
  ...figures,
});

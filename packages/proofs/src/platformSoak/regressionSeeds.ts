/** Seeds that once broke a promise, with the cause; `--regressions` plays them all. */

export interface RegressionSeed {
  readonly seed: number;
  readonly seconds: number;
  readonly cause: string;
}

export const regressionSeeds: readonly RegressionSeed[] = [
  {
    seed: 5,
    seconds: 10,
    cause: 'lost: a second SIGTERM took the daemon for gone, and it exited with streams under way',
  },
  {
    seed: 9,
    seconds: 10,
    cause: 'unexpectedExit: SIGHUP came while the daemon loaded, before it had a handler',
  },
  {
    seed: 201,
    seconds: 15,
    cause:
      'heldWrongly: a question that all callers ask was on each upstream that a deadly one ended',
  },
];

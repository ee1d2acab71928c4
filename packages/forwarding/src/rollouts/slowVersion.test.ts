import FakeTimers from '@sinonjs/fake-timers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { RolloutFleet, type FleetPlan, type FleetResult } from './testSupport/rolloutFleet.js';

const play = (plan: Omit<FleetPlan, 'seed'>, seed: number): FleetResult => {
  const clock = FakeTimers.install({ now: 1_700_000_000_000 });
  try {
    return new RolloutFleet({ ...plan, seed }, clock).run();
  } finally {
    clock.uninstall();
  }
};

const SEEDS = [1, 2, 3];

interface SlowVersion {
  readonly name: string;
  readonly factor: number;
  readonly share: number;
  /** Fraction of the roll-out's duration from which on it is slow. */
  readonly fromFraction?: number;
}

const slowDown =
  (
    { factor, share, fromFraction = 0 }: SlowVersion,
    durationMs: number,
  ): FleetPlan['getSlowdown'] =>
  (version, atMs, random) =>
    version === 'v2' && atMs >= fromFraction * durationMs && random.next() < share ? factor : 1;

const SLOW_VERSIONS: readonly SlowVersion[] = [
  { name: 'three times slower on half of its answers', factor: 3, share: 0.5 },
  { name: 'four times slower on half of its answers', factor: 4, share: 0.5 },
  { name: 'eight times slower on a quarter of its answers', factor: 8, share: 0.25 },
  { name: 'twice as slow on all its answers', factor: 2, share: 1 },
  { name: 'eight times slower from the middle on', factor: 8, share: 0.5, fromFraction: 0.5 },
];

/** One daemon of many sees few answers; sessions move in the second half only. */
const FLEETS = [
  { daemons: 2, requestsPerS: 10, durationMs: 15_000, hasSessions: false },
  { daemons: 9, requestsPerS: 40, durationMs: 15_000, hasSessions: true },
  { daemons: 9, requestsPerS: 40, durationMs: 60_000, hasSessions: true },
  { daemons: 64, requestsPerS: 100, durationMs: 10_000, hasSessions: true },
];

for (const slow of SLOW_VERSIONS) {
  for (const fleet of FLEETS) {
    const { daemons, durationMs, requestsPerS } = fleet;
    test(`a version ${slow.name} stays within its limit, ${daemons} daemons, ${requestsPerS} requests/s, ${durationMs} ms`, () => {
      for (const seed of SEEDS) {
        const result = play({ ...fleet, getSlowdown: slowDown(slow, durationMs) }, seed);
        assert.ok(
          result.candidateRequests <= result.allowedRequests,
          `seed ${seed}: ${result.candidateRequests} of ${result.requests}`,
        );
        assert.not(result.mayBeCompleted, `seed ${seed}: may be completed`);
      }
    });
  }
}

for (const fleet of FLEETS) {
  const { daemons, durationMs, requestsPerS } = fleet;
  test(`a good version is proven in time, ${daemons} daemons, ${requestsPerS} requests/s, ${durationMs} ms`, () => {
    for (const seed of SEEDS) {
      const result = play({ ...fleet, getSlowdown: () => 1 }, seed);
      assert.ok(result.mayBeCompleted, `seed ${seed}: ${[...result.stages].join()}`);
    }
  });
}

test.run();

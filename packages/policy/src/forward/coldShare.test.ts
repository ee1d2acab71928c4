/** Total rate at which all daemons send to an upstream that has returned cold. */
import { createRandom, type Random } from '@snipehaven/common';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { getColdShare } from './index.js';

const RATE_PER_S = 14;
const WINDOW_MS = 1_000;
const LENGTH_MS = 10_000;

interface Fleet {
  readonly daemons: number;
  /** Requests per second that each daemon would send to the upstream if it were warm. */
  readonly wantedPerS: number;
}

interface Outcome {
  /** Maximum number of requests in any second. */
  readonly most: number;
  /** Fraction of the rate that was used. */
  readonly used: number;
}

/** Whether a daemon that has sent at these times may send now. */
type Rule = (
  daemon: number,
  daemons: number,
  sentAtMs: readonly number[],
  nowMs: number,
) => boolean;

const countSince = (sentAtMs: readonly number[], fromMs: number): number =>
  sentAtMs.filter((atMs) => atMs > fromMs).length;

/** Whole requests per second, assigned by a rank that all daemons agree on. */
const byRank: Rule = (daemon, daemons, sentAtMs, nowMs) =>
  countSince(sentAtMs, nowMs - WINDOW_MS) <
  getColdShare({ ratePerS: RATE_PER_S, daemons, rank: daemon });

/**
 * An equal fraction of the rate for each daemon: one request every few seconds, the first one at
 * once.
 */
const byEqualParts: Rule = (_daemon, daemons, sentAtMs, nowMs) =>
  nowMs - (sentAtMs.at(-1) ?? -Infinity) >= (daemons / RATE_PER_S) * WINDOW_MS;

const listWanted = ({ wantedPerS }: Fleet, random: Random): readonly number[] => {
  const atMs: number[] = [];
  let nextMs = 0;
  while (nextMs < LENGTH_MS) {
    nextMs += (-Math.log(1 - random.next()) * 1_000) / wantedPerS;
    atMs.push(nextMs);
  }
  return atMs;
};

const simulate = (fleet: Fleet, rule: Rule, seed: number): Outcome => {
  const random = createRandom(seed);
  const sent: number[] = [];
  for (let daemon = 0; daemon < fleet.daemons; daemon += 1) {
    const own: number[] = [];
    listWanted(fleet, random)
      .filter((atMs) => atMs < LENGTH_MS)
      .forEach((atMs) => {
        if (rule(daemon, fleet.daemons, own, atMs)) {
          own.push(atMs);
        }
      });
    sent.push(...own);
  }
  const counts = sent.map(
    (atMs) => countSince(sent, atMs) - countSince(sent, atMs + WINDOW_MS) + 1,
  );
  return {
    most: Math.max(...counts),
    used: sent.length / (RATE_PER_S * (LENGTH_MS / 1_000)),
  };
};

const FLEETS: readonly Fleet[] = [
  { daemons: 1, wantedPerS: 40 },
  { daemons: 9, wantedPerS: 12 },
  { daemons: 74, wantedPerS: 6 },
  { daemons: 400, wantedPerS: 4 },
];

// Guards against upstreams that crash right after their return. A returning upstream is cold but
// looks idle to all daemons at once, and each sends its requests because it only knows its own.
for (const fleet of FLEETS) {
  test(`${fleet.daemons} daemons together stay within the rate of a cold upstream`, () => {
    for (const seed of [1, 2, 3]) {
      const { most, used } = simulate(fleet, byRank, seed);
      assert.ok(most <= RATE_PER_S, `${most} in a second`);
      assert.ok(used > 0.7, `${used} of the rate`);
    }
  });
}

test('an equal fraction of the rate for each daemon exceeds it', () => {
  const { most } = simulate({ daemons: 400, wantedPerS: 4 }, byEqualParts, 1);
  assert.ok(most > RATE_PER_S * 2, `${most} in a second`);
});

test('the shares sum up to the rate for any number of daemons', () => {
  [1, 2, 9, 13, 14, 15, 74, 195, 400].forEach((daemons) => {
    const ranks = Array.from({ length: daemons }, (_, rank) => rank);
    const shares = ranks.map((rank) => getColdShare({ ratePerS: RATE_PER_S, daemons, rank }));
    assert.is(
      shares.reduce((sum, share) => sum + share, 0),
      RATE_PER_S,
    );
  });
});

test.run();

/** Shares of a rate that an upstream accepts from all daemons. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { getProbeAgeMs, getRateShare } from './index.js';

const FLEETS: readonly number[] = [1, 9, 74, 400];

const listRanks = (daemons: number): readonly number[] =>
  Array.from({ length: daemons }, (_, rank) => rank);

test('the shares of all daemons sum up to the rate over their window', () => {
  for (const daemons of FLEETS) {
    for (const ratePerS of [0.1, 0.3, 0.7, 1, 2.7, 14, 1_000]) {
      const shares = listRanks(daemons).map((rank) => getRateShare({ ratePerS, daemons, rank }));
      const sum = shares.reduce((total, { requests }) => total + requests, 0);
      const windowS = (shares[0]?.windowMs ?? 0) / 1_000;
      assert.ok(Math.abs(sum - ratePerS * windowS) < 1e-6, `${sum} in ${windowS} s`);
      assert.ok(windowS >= 4 && windowS <= 10.001, `${windowS}`);
    }
  }
});

test('a rate below one request in ten seconds is dealt to nobody', () => {
  for (const ratePerS of [0, 0.05, 0.099]) {
    assert.is(getRateShare({ ratePerS, daemons: 9, rank: 0 }).requests, 0);
  }
});

test('daemons without a confirmation probe one after another, at the rate', () => {
  for (const ratePerS of [0, 0.5, 3]) {
    const ages = listRanks(9).map((rank) => getProbeAgeMs({ ratePerS, daemons: 9, rank }));
    const gapMs = Math.min(4_000, 1_000 / ratePerS);
    ages.forEach((ageMs, rank) => assert.is(Math.round(ageMs), Math.round(10_000 + rank * gapMs)));
  }
});

test.run();

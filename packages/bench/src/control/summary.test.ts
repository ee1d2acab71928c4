import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  countExpectedEngineCalls,
  countExpectedExchanges,
  countExpectedPolls,
  listFits,
  type Measurements,
} from './extrapolate.js';
import { summarise } from './summary.js';
import type { DaemonUse, PhaseName, Setup, SetupResult } from './types.js';

const use: DaemonUse = {
  cpuPct: 2,
  residentMb: 100,
  heapMb: 30,
  peerBytesPerSecond: 0,
  platformBytesPerSecond: 100,
  upstreamBytesPerSecond: 0,
};

const createResult = (setup: Setup, getUse: (setup: Setup) => Partial<DaemonUse>): SetupResult => ({
  setup,
  phases: (['idle', 'churn', 'load'] as const).map((phase: PhaseName) => ({
    phase,
    mean: { ...use, ...getUse(setup) },
    max: { ...use, ...getUse(setup) },
    tableReadsPerSecond: countExpectedPolls(setup.daemons, setup.dataCentres),
    tableWritesPerSecond: 0,
    changes: 30,
    changesPerSecond: 2,
    requests: 0,
    failures: 0,
    inForceP50Ms: 10,
    inForceMaxMs: 10 * setup.daemons,
  })),
});

const sizes = [3, 9, 27, 54].map((daemons) => ({
  daemons,
  dataCentres: 3,
  engines: 2,
  extraListedVms: 0,
}));
const fixed = { daemons: 3, dataCentres: 1, engines: 2, extraListedVms: 0 };

const measure = (getUse: (setup: Setup) => Partial<DaemonUse>): Measurements => ({
  baselines: { bareNodeMb: 40, librariesMb: 90 },
  bySize: sizes.map((setup) => createResult(setup, getUse)),
  byEngines: [fixed, { ...fixed, engines: 48 }].map((setup) => createResult(setup, getUse)),
  byListedVms: [fixed, { ...fixed, extraListedVms: 500 }].map((s) => createResult(s, getUse)),
});

test('counts what the mechanisms bound', () => {
  assert.is(countExpectedPolls(3, 3), 3);
  assert.ok(Math.abs(countExpectedPolls(400, 7) - 36.475) < 1e-9);
  assert.is(countExpectedExchanges(3, 1), 2);
  assert.is(countExpectedExchanges(3, 3), 2);
  assert.ok(Math.abs(countExpectedExchanges(400, 7) - 2.21) < 1e-9);
  assert.is(countExpectedEngineCalls(2), 6);
  assert.is(countExpectedEngineCalls(158), 16);
});

test('adds up what engines, listed VMs and size make of a daemon', () => {
  const measurements = measure((setup) => ({
    peerBytesPerSecond: 1_000 * countExpectedExchanges(setup.daemons, setup.dataCentres),
    upstreamBytesPerSecond: 100 * countExpectedEngineCalls(setup.engines),
    platformBytesPerSecond: 100 + setup.extraListedVms,
  }));
  const summary = summarise(measurements, listFits(measurements));
  // 2.21 exchanges, 16 calls to engines, 100 of the platform, 1,500 listed VMs read by one of 57.
  assert.is(summary.bytesPerSecond, Math.round(2_210 + 1_600 + 100 + 1_500 / (400 / 7)));
  assert.is(summary.controlMb, 10);
  assert.is(summary.cpuPct, 2);
  assert.is(summary.tableReadsPerSecond, 36.5);
  assert.is(summary.inForceP100Ms, 4_000);
});

test('does not believe control that shrinks with size', () => {
  const measurements = measure(({ daemons }) => ({ cpuPct: 4 - daemons / 100 }));
  const { cpuPct } = summarise(measurements, listFits(measurements));
  assert.ok(cpuPct > 3.4 && cpuPct < 4, String(cpuPct));
});

test.run();

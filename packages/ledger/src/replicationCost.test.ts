/** What records cost the table and the peer, counted in virtual time and printed. */
import { install } from '@sinonjs/fake-timers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DEFAULT_LEDGER_SETTINGS, ROWS_PER_BATCH } from './constants.js';
import { createSettlement, createUsage, FakeCluster, type FakeDaemon } from './testKit.js';

const DESIGNED_DAEMONS = 400;
const SECONDS = 120;
const MS_PER_SECOND = 1_000;
const ANSWER_MS = 800;
const FEW_DAEMONS = 9;
const REQUESTS_PER_SECOND = 6;
const RATE_SECONDS = 40;
const MAX_ROWS_PER_SECOND = 60;

interface Cost {
  readonly writesPerRequest: number;
  readonly callsPerRequest: number;
  readonly bytesPerRequest: number;
}

const run = async (daemon: FakeDaemon, id: string): Promise<void> => {
  await daemon.ledger.open(createUsage(id));
  await new Promise((resolve) => {
    setTimeout(resolve, ANSWER_MS);
  });
  await daemon.ledger.settle(id, createSettlement(id, 200));
};

/** The pace of so many daemons, three of which are there. */
const getFlushIntervalMs = (daemons: number): number =>
  (MS_PER_SECOND * ROWS_PER_BATCH * daemons) / DEFAULT_LEDGER_SETTINGS.maxTableWritesPerSecond;

const measure = async (requestsPerSecond: number, replicateBatchMs: number): Promise<Cost> => {
  const clock = install({ now: 1_000_000 });
  try {
    const minFlushIntervalMs = getFlushIntervalMs(DESIGNED_DAEMONS);
    const cluster = new FakeCluster(3, { replicateBatchMs, minFlushIntervalMs });
    const owner = cluster.daemons[0] as FakeDaemon;
    const count = requestsPerSecond * SECONDS;
    for (let index = 0; index < count; index += 1) {
      void run(owner, `vm1-request-${index}-0123456789abcdef`);
      await clock.tickAsync(MS_PER_SECOND / requestsPerSecond);
    }
    await clock.tickAsync(SECONDS * MS_PER_SECOND);
    assert.is((await cluster.readEntries()).length, count);
    return {
      writesPerRequest: cluster.table.writes / count,
      callsPerRequest: owner.calls / count,
      bytesPerRequest: Math.round(owner.bytes / count),
    };
  } finally {
    clock.uninstall();
  }
};

const CASES = [
  { requestsPerSecond: 6, replicateBatchMs: 2, maxCalls: 2.1 },
  { requestsPerSecond: 100, replicateBatchMs: 2, maxCalls: 2.1 },
  { requestsPerSecond: 100, replicateBatchMs: 20, maxCalls: 1.1 },
] as const;

CASES.forEach(({ requestsPerSecond, replicateBatchMs, maxCalls }) => {
  test(`at ${requestsPerSecond}/s by ${replicateBatchMs} ms writes and calls are shared`, async () => {
    const cost = await measure(requestsPerSecond, replicateBatchMs);
    console.log(JSON.stringify({ requestsPerSecond, replicateBatchMs, ...cost }));
    assert.ok(cost.writesPerRequest < 0.05);
    assert.ok(cost.callsPerRequest <= maxCalls);
  });
});

/** Rows that all daemons together write in a second. */
const measureRate = async (daemons: number, settings = {}): Promise<number> => {
  const clock = install({ now: 1_000_000 });
  try {
    const cluster = new FakeCluster(daemons, settings);
    for (let round = 0; round < RATE_SECONDS * REQUESTS_PER_SECOND; round += 1) {
      cluster.daemons.forEach((daemon, index) => {
        void run(daemon, `vm${index}-${round}`);
      });
      await clock.tickAsync(MS_PER_SECOND / REQUESTS_PER_SECOND);
    }
    return cluster.table.writes / RATE_SECONDS;
  } finally {
    clock.uninstall();
  }
};

test('few daemons together stay under their rate of writes', async () => {
  const rowsPerSecond = await measureRate(FEW_DAEMONS);
  const tenSeconds = await measureRate(FEW_DAEMONS, { minFlushIntervalMs: 10_000 });
  console.log(JSON.stringify({ daemons: FEW_DAEMONS, rowsPerSecond, tenSeconds }));
  assert.ok(rowsPerSecond <= MAX_ROWS_PER_SECOND);
});

test.run();

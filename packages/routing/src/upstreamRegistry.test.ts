/** Upstream capacity as the registry reports it to upstream choice and admission. */
import { asId, createRandom, setInvariantsFatal, type DataCentreId } from '@snipehaven/common';
import type { ConfigurationView, Resource } from '@snipehaven/resources';
import type { EngineLoad } from '@snipehaven/upstream';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { UpstreamEntry } from './upstreamEntry.js';
import { UpstreamRegistry } from './upstreamRegistry.js';

setInvariantsFatal(true);

const DAEMONS = 5;
const ENGINES = ['e3', 'e1', 'e2'];
const MAX_CONCURRENCY = 7;

const createUpstream = (name: string, dataCentre: string): Resource<'Upstream'> =>
  ({
    metadata: { name },
    spec: {
      type: 'engine',
      dataCentre,
      url: `http://${name}`,
      versions: ['small@1'],
      maxConcurrency: MAX_CONCURRENCY,
    },
  }) as unknown as Resource<'Upstream'>;

const createRegistry = (daemonIndex: number, names: readonly string[]): UpstreamRegistry => {
  const registry = new UpstreamRegistry({
    localDataCentre: asId<DataCentreId>('a'),
    random: createRandom(1),
    timeline: { record: () => undefined },
    getDaemonPlace: () => ({ daemonIndex, daemonCount: DAEMONS }),
  });
  const upstreams = [...names.map((name) => createUpstream(name, 'a')), createUpstream('far', 'b')];
  registry.update({ list: () => upstreams } as unknown as ConfigurationView);
  return registry;
};

const createLoad = (change: Partial<EngineLoad>): EngineLoad => ({
  atMs: Date.now(),
  running: 0,
  queued: 0,
  kvUsedPct: 0,
  versions: ['small@1'],
  leaving: false,
  ...change,
});

test('daemons with the same lists divide all slots without overlap', () => {
  const orders = [ENGINES, [...ENGINES].reverse()];
  const concurrencyLimits = Array.from({ length: DAEMONS }, (_, index) =>
    createRegistry(index, orders[index % 2] ?? ENGINES).getMaxRunning(),
  );
  // 21 slots over 5 daemons, and a burst of 3 that each daemon may take in addition.
  assert.equal([...concurrencyLimits].sort(), [4, 4, 4, 4, 5]);
});

test('a full batch lowers the concurrency limit and thereby admission', () => {
  // The engine's batch is smaller than configured and its reports show a queue. While admission
  // relies on the configured limit, requests queue at the engine, where this daemon's fair queue
  // cannot order them.
  const registry = createRegistry(0, ENGINES);
  const before = registry.getMaxRunning();
  registry.list().forEach((entry: UpstreamEntry) => {
    registry.updateLoad(entry, createLoad({ running: 2, queued: 5 }), registry.freshness.nowMs);
    Array.from({ length: 20 }, () => entry.recordFirstToken(100));
  });
  assert.ok(registry.getMaxRunning() < before / 2, `${registry.getMaxRunning()} of ${before}`);
});

test('an idle engine keeps its limit even if its latency varies', () => {
  // First tokens take 1 ms and then 20 ms while the reports show nothing running. If such a report
  // is treated as missing, latency alone decides, and an engine without a queue gets only a few
  // requests at a time.
  const registry = createRegistry(0, ENGINES);
  const before = registry.getMaxRunning();
  registry.list().forEach((entry: UpstreamEntry) => {
    registry.updateLoad(entry, createLoad({}), registry.freshness.nowMs);
    Array.from({ length: 100 }, (_, index) => entry.recordFirstToken(index < 5 ? 1 : 20));
  });
  assert.is(registry.getMaxRunning(), before);
});

test('without an open local upstream, remote capacity counts', () => {
  const registry = createRegistry(0, ENGINES);
  ENGINES.forEach((id) => registry.setLeaving(id, 'engine', true));
  assert.ok(registry.getMaxRunning() > 1);
});

test.run();

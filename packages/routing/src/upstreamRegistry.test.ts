/** Room at upstreams as the registry gives it to choice and admission. */
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

test('daemons that sort the same lists share out all slots, and no slot twice', () => {
  const orders = [ENGINES, [...ENGINES].reverse()];
  const rooms = Array.from({ length: DAEMONS }, (_, index) =>
    createRegistry(index, orders[index % 2] ?? ENGINES).getMaxRunning(),
  );
  // 21 slots over 5 daemons, each of which may take a burst of 3 besides what it has.
  assert.equal([...rooms].sort(), [4, 4, 4, 4, 5]);
});

test('a full batch lowers the limit, and with it admission', () => {
  // Symptom: requests queue at an engine, out of the reach of this daemon's fair order.
  // Sequence: the engine's batch is smaller than declared; its reports show a queue.
  // Cause: admission counts on the declared limit.
  const registry = createRegistry(0, ENGINES);
  const before = registry.getMaxRunning();
  registry.list().forEach((entry: UpstreamEntry) => {
    registry.noteLoad(entry, createLoad({ running: 2, queued: 5 }), registry.freshness.nowMs);
    Array.from({ length: 20 }, () => entry.noteFirstToken(100));
  });
  assert.ok(registry.getMaxRunning() < before / 2, `${registry.getMaxRunning()} of ${before}`);
});

test('an idle engine keeps its limit however its times vary', () => {
  // Symptom: an engine without a queue gets a few requests at a time, and the rest wait.
  // Sequence: first tokens take 1 ms, then 20 ms, while its reports show nothing running.
  // Cause: a report of nothing is taken for no report, and the times decide.
  const registry = createRegistry(0, ENGINES);
  const before = registry.getMaxRunning();
  registry.list().forEach((entry: UpstreamEntry) => {
    registry.noteLoad(entry, createLoad({}), registry.freshness.nowMs);
    Array.from({ length: 100 }, (_, index) => entry.noteFirstToken(index < 5 ? 1 : 20));
  });
  assert.is(registry.getMaxRunning(), before);
});

test('with no upstream open here the room elsewhere counts', () => {
  const registry = createRegistry(0, ENGINES);
  ENGINES.forEach((id) => registry.noteLeaving(id, 'engine', true));
  assert.ok(registry.getMaxRunning() > 1);
});

test.run();

/** New work after a freeze or a cut. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { asId, createRandom, setInvariantsFatal, type DataCentreId } from '@snipehaven/common';
import type { ConfigurationView, Resource } from '@snipehaven/resources';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { UpstreamEntry } from './upstreamEntry.js';
import { UpstreamRegistry, type ChosenUpstream } from './upstreamRegistry.js';

setInvariantsFatal(true);

interface Context {
  clock: Clock;
  registry: UpstreamRegistry;
  leavingIds: Set<string>;
  silentIds: Set<string>;
  readings: string[];
  vmListReads: number;
}

const VERSION = 'small@1';
const FREEZE_MS = 10_000;
/** Longer than the readings of both engines may take. */
const SETTLE_MS = 700;
const WISH = { version: VERSION, excludedIds: [] };

const createUpstream = (name: string, type: string): Resource<'Upstream'> =>
  ({
    metadata: { name },
    spec: {
      type,
      ...(type === 'service' ? { service: 'filing' } : {}),
      dataCentre: 'a',
      url: `http://${name}`,
      versions: [VERSION],
      maxConcurrency: 8,
    },
  }) as unknown as Resource<'Upstream'>;

const test = suite<Context>('upstreamFreshness', {} as Context);

/** No answer, and no error either. */
const createEndless = (): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, 60_000);
  });

const readLoad = async (context: Context, entry: UpstreamEntry): Promise<void> => {
  const { registry, leavingIds, silentIds, readings } = context;
  const askedAtMs = registry.freshness.nowMs;
  readings.push(entry.id);
  if (silentIds.has(entry.id)) {
    await createEndless();
  }
  const leaving = leavingIds.has(entry.id);
  const load = { atMs: Date.now(), running: 0, queued: 0, kvUsedPct: 0, versions: [VERSION] };
  registry.noteLoad(entry, { ...load, leaving }, askedAtMs);
};

test.before.each((context) => {
  context.clock = FakeTimers.install({ now: 1_700_000_000_000 });
  context.leavingIds = new Set();
  context.silentIds = new Set();
  context.readings = [];
  context.vmListReads = 0;
  context.registry = new UpstreamRegistry({
    localDataCentre: asId<DataCentreId>('a'),
    random: createRandom(1),
    timeline: { record: () => undefined },
    getDaemonPlace: () => ({ daemonIndex: 0, daemonCount: 1 }),
  });
  const upstreams = [
    createUpstream('e1', 'engine'),
    createUpstream('e2', 'engine'),
    createUpstream('s1', 'service'),
  ];
  context.registry.update({ list: () => upstreams } as unknown as ConfigurationView);
  context.registry.freshness.setReader({
    readLoad: (entry) => readLoad(context, entry),
    readVmList: () => {
      context.vmListReads += 1;
      return createEndless();
    },
  });
});

test.after.each(({ clock }) => clock.uninstall());

const settle = async (
  { clock }: Context,
  choice: Promise<ChosenUpstream | undefined>,
): Promise<string | undefined> => {
  await clock.tickAsync(SETTLE_MS);
  return (await choice)?.entry.id;
};

test('an engine that began to leave during a freeze gets nothing', async (context) => {
  // Symptom: an engine starts a run seconds after it said that it leaves.
  // Sequence: the daemon is frozen, the engine begins to leave, the daemon wakes and sends.
  // Cause: the last report was taken as good, however old.
  const { registry, clock, leavingIds, readings } = context;
  await Promise.all(['e1', 'e2'].map((id) => readLoad(context, registry.get(id) as UpstreamEntry)));
  assert.ok(registry.choose(WISH));
  leavingIds.add('e1');
  clock.jump(FREEZE_MS);
  readings.length = 0;
  const choices = Array.from({ length: 20 }, () => registry.chooseFresh(WISH));
  await clock.tickAsync(1_000);
  const chosen = await Promise.all(choices);
  assert.ok(chosen.every((one) => one?.entry.id === 'e2'));
  assert.ok(readings.length <= 2, `${readings.length} readings, one for each engine`);
});

test('an answer that waited in the socket during the freeze is as old as its question', async (context) => {
  // Symptom: the same.
  // Sequence: the report was on its way when the freeze began, and is the first thing read after it.
  // Cause: a report dated by when it was read.
  const { registry, clock, leavingIds } = context;
  const entry = registry.get('e1') as UpstreamEntry;
  const askedAtMs = registry.freshness.nowMs;
  clock.jump(FREEZE_MS);
  leavingIds.add('e1').add('e2');
  const old = { running: 0, queued: 0, kvUsedPct: 0, versions: [VERSION], leaving: false };
  registry.noteLoad(entry, { ...old, atMs: Date.now() }, askedAtMs);
  assert.is(await settle(context, registry.chooseFresh(WISH)), undefined);
});

test('an engine that does not answer is passed over, and not waited for again and again', async (context) => {
  // Symptom: after a cut every request waits for the same dead engine.
  // Sequence: its report is old, reading it anew takes all of the time allowed, for each request.
  // Cause: a failed reading is not remembered.
  const { registry, clock, silentIds, readings } = context;
  silentIds.add('e1').add('e2');
  assert.is(await settle(context, registry.chooseFresh(WISH)), undefined);
  const before = readings.length;
  assert.is(await settle(context, registry.chooseFresh(WISH)), undefined);
  assert.is(readings.length, before, 'no new reading so soon');
  silentIds.delete('e2');
  await clock.tickAsync(1_000);
  assert.is(await settle(context, registry.chooseFresh(WISH)), 'e2');
  assert.ok(readings.length - before <= 2);
});

test('services go on while the VM list is away', async (context) => {
  const wish = { service: 'filing', excludedIds: [] };
  assert.is(await settle(context, context.registry.chooseFresh(wish)), 's1');
  assert.is(await settle(context, context.registry.chooseFresh(wish)), 's1');
  assert.is(context.vmListReads, 1);
});

test.run();

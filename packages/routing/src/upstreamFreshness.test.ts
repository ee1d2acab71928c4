/** Choosing upstreams after a process pause or a network partition. */
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
  unresponsiveIds: Set<string>;
  loadReads: string[];
  vmListReads: number;
}

const VERSION = 'small@1';
const PAUSE_MS = 10_000;
/** Longer than the load reads of both engines may take. */
const SETTLE_MS = 700;
const QUERY = { version: VERSION, excludedIds: [] };

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

/** A read that neither answers nor fails for a minute. */
const createPendingRead = (): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, 60_000);
  });

const readLoad = async (context: Context, entry: UpstreamEntry): Promise<void> => {
  const { registry, leavingIds, unresponsiveIds, loadReads } = context;
  const requestedAtMs = registry.freshness.nowMs;
  loadReads.push(entry.id);
  if (unresponsiveIds.has(entry.id)) {
    await createPendingRead();
  }
  const leaving = leavingIds.has(entry.id);
  const load = { atMs: Date.now(), running: 0, queued: 0, kvUsedPct: 0, versions: [VERSION] };
  registry.updateLoad(entry, { ...load, leaving }, requestedAtMs);
};

test.before.each((context) => {
  context.clock = FakeTimers.install({ now: 1_700_000_000_000 });
  context.leavingIds = new Set();
  context.unresponsiveIds = new Set();
  context.loadReads = [];
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
      return createPendingRead();
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

test('an engine that began to leave during a process pause gets no requests', async (context) => {
  // The daemon is paused, an engine begins to leave, and the daemon resumes. Trusting the last load
  // report regardless of its age makes the engine start a run seconds after it announced its leave.
  const { registry, clock, leavingIds, loadReads } = context;
  await Promise.all(['e1', 'e2'].map((id) => readLoad(context, registry.get(id) as UpstreamEntry)));
  assert.ok(registry.choose(QUERY));
  leavingIds.add('e1');
  clock.jump(PAUSE_MS);
  loadReads.length = 0;
  const choices = Array.from({ length: 20 }, () => registry.chooseFresh(QUERY));
  await clock.tickAsync(1_000);
  const chosen = await Promise.all(choices);
  assert.ok(chosen.every((one) => one?.entry.id === 'e2'));
  assert.ok(loadReads.length <= 2, `${loadReads.length} reads, one per engine`);
});

test('a response held in the socket during a pause is as old as its request', async (context) => {
  // The same failure as above, with a report that was in flight when the pause began and is read
  // first after it: dated by when it was read, it would look recent.
  const { registry, clock, leavingIds } = context;
  const entry = registry.get('e1') as UpstreamEntry;
  const requestedAtMs = registry.freshness.nowMs;
  clock.jump(PAUSE_MS);
  leavingIds.add('e1').add('e2');
  const old = { running: 0, queued: 0, kvUsedPct: 0, versions: [VERSION], leaving: false };
  registry.updateLoad(entry, { ...old, atMs: Date.now() }, requestedAtMs);
  assert.is(await settle(context, registry.chooseFresh(QUERY)), undefined);
});

test('an unresponsive engine is skipped without being waited for again', async (context) => {
  // After a partition the report of a dead engine is stale. If a failed read is not remembered,
  // every request waits for that engine until the read times out.
  const { registry, clock, unresponsiveIds, loadReads } = context;
  unresponsiveIds.add('e1').add('e2');
  assert.is(await settle(context, registry.chooseFresh(QUERY)), undefined);
  const before = loadReads.length;
  assert.is(await settle(context, registry.chooseFresh(QUERY)), undefined);
  assert.is(loadReads.length, before, 'no new read before the retry delay');
  unresponsiveIds.delete('e2');
  await clock.tickAsync(1_000);
  assert.is(await settle(context, registry.chooseFresh(QUERY)), 'e2');
  assert.ok(loadReads.length - before <= 2);
});

test('services stay available while the VM list is unavailable', async (context) => {
  const query = { service: 'filing', excludedIds: [] };
  assert.is(await settle(context, context.registry.chooseFresh(query)), 's1');
  assert.is(await settle(context, context.registry.chooseFresh(query)), 's1');
  assert.is(context.vmListReads, 1);
});

test.run();

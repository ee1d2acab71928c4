import { install, type Clock } from '@sinonjs/fake-timers';
import {
  asId,
  createRandom,
  createSilentLogger,
  setInvariantsFatal,
  type DataCentreId,
  type UpstreamId,
} from '@snipehaven/common';
import type { ListedVm } from '@snipehaven/platform';
import type { EngineClient, EngineLoad } from '@snipehaven/upstream';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createUpstreams, createView } from './testSupport/resources.js';
import type { UpstreamEntry } from './upstreamEntry.js';
import { UpstreamRegistry } from './upstreamRegistry.js';
import { UpstreamWatcher } from './upstreamWatcher.js';

setInvariantsFatal(true);

const INTERVAL_MS = 500;
const LONG_MS = 40_000;
const VERSION = 'small@1';
const REMOTE_URL = 'http://127.0.0.2:1';

/** A local and a remote engine, watched over fakes on a fake clock. */
class WatchedWorld {
  readonly registry = new UpstreamRegistry({
    localDataCentre: asId<DataCentreId>('dc-1'),
    random: createRandom(1),
    timeline: { record: () => undefined },
    getDaemonPlace: () => ({ daemonIndex: 0, daemonCount: 1 }),
  });

  readonly asked: string[] = [];

  isLeaving = false;

  versions: readonly string[] = [VERSION];

  vms: readonly ListedVm[] = [];

  readonly #watcher: UpstreamWatcher;

  constructor() {
    this.registry.update(createView(createUpstreams({ local: 'dc-1', remote: 'dc-2' })));
    const engines = {
      getLoad: async (url: string) => this.#getLoad(url),
      fetchCacheEvents: async () => ({ events: [], lastSeq: 0 }),
    } as unknown as EngineClient;
    this.#watcher = new UpstreamWatcher({
      registry: this.registry,
      engines,
      vmList: { list: async () => this.vms },
      localDataCentre: 'dc-1',
      logger: createSilentLogger(),
      random: createRandom(1),
      settings: {
        loadIntervalMs: INTERVAL_MS,
        cacheEventsIntervalMs: INTERVAL_MS,
        vmListIntervalMs: INTERVAL_MS,
      },
    });
    this.#watcher.start();
  }

  get remote(): UpstreamEntry {
    const entry = this.registry.get('remote');
    assert.ok(entry);
    return entry;
  }

  /** What is chosen when the local engine cannot be. */
  chooseRemote(): string | undefined {
    const excludedIds = [asId<UpstreamId>('local')];
    return this.registry.choose({ version: VERSION, excludedIds })?.entry.id;
  }

  countAsked(url: string): number {
    return this.asked.filter((other) => other === url).length;
  }

  use(): void {
    this.remote.noteSent(Date.now());
    this.remote.noteEnded();
  }

  stop(): void {
    this.#watcher.stop();
  }

  #getLoad(url: string): EngineLoad {
    this.asked.push(url);
    const leaving = this.isLeaving && url === REMOTE_URL;
    const { versions } = this;
    return { atMs: Date.now(), running: 0, queued: 0, kvUsedPct: 0, versions, leaving };
  }
}

const test = suite('upstreamWatcher');
let clock: Clock;
let world: WatchedWorld;

test.before.each(() => {
  clock = install({ now: 1_000_000 });
  world = new WatchedWorld();
});

test.after.each(() => {
  world.stop();
  clock.uninstall();
});

test('asks engines of other data centres only while it uses them', async () => {
  await clock.tickAsync(LONG_MS);
  assert.is(world.countAsked(REMOTE_URL), 0);
  assert.ok(world.asked.length > LONG_MS / INTERVAL_MS / 2);
  world.use();
  await clock.tickAsync(3 * INTERVAL_MS);
  assert.ok(world.countAsked(REMOTE_URL) > 0);
  await clock.tickAsync(LONG_MS);
  const asked = world.countAsked(REMOTE_URL);
  await clock.tickAsync(LONG_MS);
  assert.is(world.countAsked(REMOTE_URL), asked);
});

test('finds out by itself that a remote engine in use leaves, and that it stays', async () => {
  // Symptom: an engine starts runs long after it began to leave.
  // Sequence: requests spill to another data centre; an engine there begins to leave.
  // Cause: its own word is heard in its data centre only, and the VM list lags.
  assert.is(world.chooseRemote(), 'remote');
  world.use();
  world.isLeaving = true;
  await clock.tickAsync(3 * INTERVAL_MS);
  assert.is(world.chooseRemote(), undefined);
  await clock.tickAsync(LONG_MS);
  assert.is(world.chooseRemote(), undefined, 'its word holds without new requests');
  world.isLeaving = false;
  await clock.tickAsync(3 * INTERVAL_MS);
  assert.is(world.chooseRemote(), 'remote');
});

test('asks an engine at once that has refused a request', async () => {
  world.isLeaving = true;
  world.registry.recordOutcome(world.remote, 'refused');
  await clock.tickAsync(0);
  assert.is(world.countAsked(REMOTE_URL), 1);
  assert.is(world.chooseRemote(), undefined);
});

test('counts the first word of either source, until both have taken it back', async () => {
  // Symptom: a leaving engine gets work again.
  // Sequence: one source says that it leaves, the other one does not know of it yet.
  // Cause: the later word overrides the earlier one.
  const vm = { name: 'r', role: 'upstream', dataCentre: 'dc-2', address: '127.0.0.2:1' } as const;
  world.vms = [{ ...vm, state: 'leaving' }];
  world.use();
  await clock.tickAsync(3 * INTERVAL_MS);
  const sinceMs = world.remote.leavingSinceMs;
  assert.is(world.chooseRemote(), undefined);
  world.isLeaving = true;
  await clock.tickAsync(3 * INTERVAL_MS);
  assert.is(world.remote.leavingSinceMs, sinceMs);
  world.vms = [{ ...vm, state: 'live' }];
  await clock.tickAsync(3 * INTERVAL_MS);
  assert.is(world.chooseRemote(), undefined);
});

test('does not go by the old report of an engine that is asked no more', async () => {
  // Symptom: a version that an engine has loaded since gets no request there.
  // Sequence: a remote engine is used, then not for a while; meanwhile it loads another version.
  // Cause: its last report says what it served, and nobody asks again as nothing is sent.
  world.versions = ['other@1'];
  world.use();
  await clock.tickAsync(3 * INTERVAL_MS);
  assert.is(world.chooseRemote(), undefined);
  await clock.tickAsync(LONG_MS);
  assert.is(world.chooseRemote(), 'remote');
});

test.run();

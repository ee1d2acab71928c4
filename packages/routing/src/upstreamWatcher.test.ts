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

/** A watcher with one local and one remote engine, over fakes and a fake clock. */
class WatcherFixture {
  readonly registry = new UpstreamRegistry({
    localDataCentre: asId<DataCentreId>('dc-1'),
    random: createRandom(1),
    timeline: { record: () => undefined },
    getDaemonPlace: () => ({ daemonIndex: 0, daemonCount: 1 }),
  });

  readonly polledUrls: string[] = [];

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

  /** The upstream chosen when the local engine is excluded. */
  chooseRemote(): string | undefined {
    const excludedIds = [asId<UpstreamId>('local')];
    return this.registry.choose({ version: VERSION, excludedIds })?.entry.id;
  }

  countPolls(url: string): number {
    return this.polledUrls.filter((other) => other === url).length;
  }

  sendToRemote(): void {
    this.remote.recordSent(Date.now());
    this.remote.recordEnded();
  }

  stop(): void {
    this.#watcher.stop();
  }

  #getLoad(url: string): EngineLoad {
    this.polledUrls.push(url);
    const leaving = this.isLeaving && url === REMOTE_URL;
    const { versions } = this;
    return { atMs: Date.now(), running: 0, queued: 0, kvUsedPct: 0, versions, leaving };
  }
}

const test = suite('upstreamWatcher');
let clock: Clock;
let fixture: WatcherFixture;

test.before.each(() => {
  clock = install({ now: 1_000_000 });
  fixture = new WatcherFixture();
});

test.after.each(() => {
  fixture.stop();
  clock.uninstall();
});

test('polls engines of other data centres only while using them', async () => {
  await clock.tickAsync(LONG_MS);
  assert.is(fixture.countPolls(REMOTE_URL), 0);
  assert.ok(fixture.polledUrls.length > LONG_MS / INTERVAL_MS / 2);
  fixture.sendToRemote();
  await clock.tickAsync(3 * INTERVAL_MS);
  assert.ok(fixture.countPolls(REMOTE_URL) > 0);
  await clock.tickAsync(LONG_MS);
  const pollCount = fixture.countPolls(REMOTE_URL);
  await clock.tickAsync(LONG_MS);
  assert.is(fixture.countPolls(REMOTE_URL), pollCount);
});

test('detects by polling that a remote engine in use is leaving, and that it stays after all', async () => {
  // Requests spill over to another data centre, and an engine there begins to leave. Its
  // announcement is seen only in its own data centre and the VM list lags behind, so it would start
  // runs long after.
  assert.is(fixture.chooseRemote(), 'remote');
  fixture.sendToRemote();
  fixture.isLeaving = true;
  await clock.tickAsync(3 * INTERVAL_MS);
  assert.is(fixture.chooseRemote(), undefined);
  await clock.tickAsync(LONG_MS);
  assert.is(fixture.chooseRemote(), undefined, 'its report holds without new requests');
  fixture.isLeaving = false;
  await clock.tickAsync(3 * INTERVAL_MS);
  assert.is(fixture.chooseRemote(), 'remote');
});

test('immediately polls an engine that refused a request', async () => {
  fixture.isLeaving = true;
  fixture.registry.recordOutcome(fixture.remote, 'refused');
  await clock.tickAsync(0);
  assert.is(fixture.countPolls(REMOTE_URL), 1);
  assert.is(fixture.chooseRemote(), undefined);
});

test('treats an upstream as leaving from the first report until both sources revoke it', async () => {
  // One source reports that an engine is leaving while the other does not know yet. If the later
  // report overrides the earlier one, the leaving engine gets work again.
  const vm = { name: 'r', role: 'upstream', dataCentre: 'dc-2', address: '127.0.0.2:1' } as const;
  fixture.vms = [{ ...vm, state: 'leaving' }];
  fixture.sendToRemote();
  await clock.tickAsync(3 * INTERVAL_MS);
  const sinceMs = fixture.remote.leavingSinceMs;
  assert.is(fixture.chooseRemote(), undefined);
  fixture.isLeaving = true;
  await clock.tickAsync(3 * INTERVAL_MS);
  assert.is(fixture.remote.leavingSinceMs, sinceMs);
  fixture.vms = [{ ...vm, state: 'live' }];
  await clock.tickAsync(3 * INTERVAL_MS);
  assert.is(fixture.chooseRemote(), undefined);
});

test('does not use the last report of an engine that is no longer polled', async () => {
  // A remote engine is used, then idle, and loads another version meanwhile. Its last report lists
  // the old versions, so nothing is sent to it and no new report is requested.
  fixture.versions = ['other@1'];
  fixture.sendToRemote();
  await clock.tickAsync(3 * INTERVAL_MS);
  assert.is(fixture.chooseRemote(), undefined);
  await clock.tickAsync(LONG_MS);
  assert.is(fixture.chooseRemote(), 'remote');
});

test.run();

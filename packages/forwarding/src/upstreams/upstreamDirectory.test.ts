/** Incarnations of upstreams, as reported by their rows. */
import FakeTimers from '@sinonjs/fake-timers';
import { createSilentLogger } from '@snipehaven/common';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PeerLoads } from '../peers/index.js';
import type { Upstream } from '../types.js';
import { UpstreamDirectory } from './upstreamDirectory.js';

const UPSTREAM: Upstream = {
  id: 'u-1',
  service: 's',
  host: '127.0.0.1',
  port: 80,
  dataCentre: 'a',
  softwareVersion: 'v1',
  slots: 8,
  state: 'ready',
  bornAtMs: 1_000,
};

const createDirectory = (loads = new PeerLoads()): UpstreamDirectory =>
  new UpstreamDirectory(createSilentLogger(), loads);

// Guards against a restarted upstream that gets no work: load and failures of its earlier
// incarnation under the same id must not carry over.
test('load, failures and suspicion of an earlier incarnation do not carry over', () => {
  const loads = new PeerLoads();
  const directory = createDirectory(loads);
  directory.put(UPSTREAM);
  const before = directory.find('u-1');
  before?.startRequest(500);
  before?.recordOutcome('unreachable', 0);
  const reported = new Map([[before?.lifeId ?? '', { work: 900, requests: 3 }]]);
  const origin = { vm: 'vm', dataCentre: 'a', process: 1, sequence: 1 };
  const stamp = {
    ...origin,
    news: [],
    scope: 'own' as const,
    readers: [],
    members: 0,
    learned: { paces: [], demands: [], rollouts: [] },
  };
  loads.receive({ ...stamp, loads: reported }, 0);
  assert.is(before?.requests, 4);
  directory.put({ ...UPSTREAM, bornAtMs: 2_000, softwareVersion: 'v2' });
  const after = directory.find('u-1');
  assert.is(after?.backlog, 0);
  assert.is(after?.requests, 0);
  assert.is(after?.failureShare, 0);
  assert.not(after?.isSuspect(1));
  assert.is(after?.upstream.softwareVersion, 'v2');
  before?.finishRequest(500);
  assert.is(after?.requests, 0);
});

// Guards against requests to an address that its worker has left: a row of the earlier incarnation
// can be acknowledged late, after the row of the new one or after the upstream has left for good.
test('a row of an earlier incarnation is ignored whenever it arrives', () => {
  const directory = createDirectory();
  directory.put({ ...UPSTREAM, bornAtMs: 2_000, port: 90 });
  directory.put(UPSTREAM);
  assert.is(directory.find('u-1')?.upstream.port, 90);
  const unnamed: Upstream = { ...UPSTREAM };
  delete (unnamed as { bornAtMs?: number }).bornAtMs;
  directory.put(unnamed);
  assert.is(directory.find('u-1')?.upstream.port, 90);
  directory.remove('u-1');
  directory.put(UPSTREAM);
  assert.is(directory.find('u-1'), undefined);
});

test('a rejected entry is not kept for the grace period after a store outage', () => {
  const directory = createDirectory();
  directory.put(UPSTREAM);
  directory.noteStoreBack();
  directory.reject('u-1');
  assert.is(directory.find('u-1'), undefined);
});

// Guards against a request that reached an upstream 2.8 s after it left: the daemon's data centre
// was partitioned, and on reconnecting to the store the daemon kept the missing entry as a last
// resort for 2.4 s.
test('an upstream missing when the store returns is removed after two seconds', () => {
  const clock = FakeTimers.install();
  try {
    const directory = createDirectory();
    directory.put(UPSTREAM);
    directory.noteStoreBack();
    directory.remove('u-1');
    assert.ok(directory.find('u-1')?.isDoubtful);
    clock.tick(2_000);
    assert.is(directory.find('u-1'), undefined);
  } finally {
    clock.uninstall();
  }
});

test.run();

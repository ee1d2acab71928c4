/** When a whole data centre is avoided, and when only single upstreams are. */
import { createSilentLogger } from '@snipehaven/common';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PeerLoads } from '../peers/index.js';
import type { Upstream } from '../types.js';
import { UpstreamDirectory } from './upstreamDirectory.js';

const createUpstream = (id: string, dataCentre: string): Upstream => ({
  id,
  service: 's',
  host: '127.0.0.1',
  port: 1,
  dataCentre,
  softwareVersion: 'v1',
  slots: 4,
  state: 'ready',
});

const createDirectory = (): UpstreamDirectory => {
  const directory = new UpstreamDirectory(createSilentLogger(), new PeerLoads());
  ['a', 'b'].forEach((dataCentre) =>
    [1, 2, 3].forEach((index) =>
      directory.put(createUpstream(`${dataCentre}-${index}`, dataCentre)),
    ),
  );
  return directory;
};

const listUnsuspectedIds = (directory: UpstreamDirectory, nowMs: number): readonly string[] =>
  directory
    .listReady('s')
    .filter((entry) => !entry.isSuspect(nowMs))
    .map(({ id }) => id);

// Guards against late requests during a partition of a data centre: if each upstream there is tried
// in turn, each takes 0.9 s to be detected as silent although most upstreams elsewhere are healthy.
test('two silent upstreams make their data centre suspect, and no other', () => {
  const directory = createDirectory();
  directory.find('b-1')?.recordOutcome('unreachable', 1_000);
  assert.equal(listUnsuspectedIds(directory, 1_001), ['a-1', 'a-2', 'a-3', 'b-2', 'b-3']);
  directory.find('b-2')?.recordOutcome('unreachable', 1_300);
  assert.equal(listUnsuspectedIds(directory, 1_301), ['a-1', 'a-2', 'a-3']);
  assert.ok(listUnsuspectedIds(directory, 2_101).includes('b-3'));
});

// Guards against half of the engines getting all the work: two engines crash, and their data centre
// is taken for partitioned although the third one responds.
test('activity in a data centre clears its suspicion, but not that of the silent upstreams', () => {
  const directory = createDirectory();
  directory.find('b-1')?.recordOutcome('unreachable', 1_000);
  directory.find('b-3')?.recordActivity(1_100);
  directory.find('b-2')?.recordOutcome('unreachable', 1_200);
  assert.equal(listUnsuspectedIds(directory, 1_201), ['a-1', 'a-2', 'a-3', 'b-3']);
  directory.find('b-1')?.recordOutcome('unreachable', 1_300);
  assert.equal(listUnsuspectedIds(directory, 1_301), ['a-1', 'a-2', 'a-3']);
  directory.find('b-3')?.recordActivity(1_400);
  assert.equal(listUnsuspectedIds(directory, 1_401), ['a-1', 'a-2', 'a-3', 'b-3']);
});

test('repeated silence of one upstream, or of two far apart in time, does not make the data centre suspect', () => {
  const directory = createDirectory();
  directory.find('b-1')?.recordOutcome('unreachable', 1_000);
  directory.find('b-1')?.recordOutcome('unreachable', 1_100);
  assert.ok(listUnsuspectedIds(directory, 1_101).includes('b-3'));
  directory.find('b-2')?.recordOutcome('unreachable', 3_000);
  assert.ok(listUnsuspectedIds(directory, 3_001).includes('b-3'));
});

test.run();

/** When a whole data centre is left alone, and when only single upstreams are. */
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

// Symptom: requests are late one after another though most upstreams are well. Sequence: a data centre
// is cut off; each upstream there is tried in turn, and each takes 0.9 s to be found silent. Cause:
// nothing is concluded from the others.
test('two silent upstreams make their data centre suspect, and no other', () => {
  const directory = createDirectory();
  directory.find('b-1')?.recordOutcome('unreachable', 1_000);
  assert.equal(listUnsuspectedIds(directory, 1_001), ['a-1', 'a-2', 'a-3', 'b-2', 'b-3']);
  directory.find('b-2')?.recordOutcome('unreachable', 1_300);
  assert.equal(listUnsuspectedIds(directory, 1_301), ['a-1', 'a-2', 'a-3']);
  assert.ok(listUnsuspectedIds(directory, 2_101).includes('b-3'));
});

// Symptom: half of the engines get all the work. Sequence: two engines crash. Cause: their data centre
// is taken for cut off though the third answers.
test('a sign of life there clears the data centre, not the silent ones', () => {
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

test('one that is silent again and again, or two long after each other, are single upstreams', () => {
  const directory = createDirectory();
  directory.find('b-1')?.recordOutcome('unreachable', 1_000);
  directory.find('b-1')?.recordOutcome('unreachable', 1_100);
  assert.ok(listUnsuspectedIds(directory, 1_101).includes('b-3'));
  directory.find('b-2')?.recordOutcome('unreachable', 3_000);
  assert.ok(listUnsuspectedIds(directory, 3_001).includes('b-3'));
});

test.run();

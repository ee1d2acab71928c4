/** The versions that a daemon remembers of sessions. */
import { install } from '@sinonjs/fake-timers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { SessionVersions } from './sessionVersions.js';

const TTL_MS = 5_000;
const SESSION = { service: 's', session: 'one' };

test('a change of version is reported until the session has expired', () => {
  const clock = install();
  const versions = new SessionVersions(TTL_MS);
  assert.is(versions.recordRun(SESSION, 'v1'), undefined);
  clock.tick(4_000);
  assert.is(versions.recordRun(SESSION, 'v1'), undefined);
  clock.tick(4_000);
  const move = versions.recordRun(SESSION, 'v2');
  assert.equal(move, { ...SESSION, from: 'v1', to: 'v2', sinceMs: 4_000 });
  clock.tick(TTL_MS);
  assert.is(versions.find(SESSION), undefined);
  assert.is(versions.recordRun(SESSION, 'v1'), undefined);
  clock.uninstall();
});

test('versions of a session are kept separately by service', () => {
  const versions = new SessionVersions(TTL_MS);
  versions.recordRun(SESSION, 'v1');
  assert.is(versions.recordRun({ ...SESSION, service: 'other' }, 'v2'), undefined);
  assert.is(versions.find(SESSION)?.softwareVersion, 'v1');
});

test.run();

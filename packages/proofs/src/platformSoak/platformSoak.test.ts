/** A short run with the real programs; long ones and many seeds are run by hand. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { runSoak } from './soakRun.js';

const SEED = 1;

test('the promises hold while processes, paths, store and operator misbehave', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'snipehaven-platform-soak-'));
  const { violations, served } = await runSoak({
    seed: SEED,
    seconds: 8,
    scenario: 'all',
    vmsPerDataCentre: 1,
    callers: 12,
    folder,
    network: `127.${10 + (process.pid % 200)}`,
  });
  assert.equal(violations, [], `logs in ${folder}`);
  assert.ok(served > 0);
  rmSync(folder, { recursive: true });
});

test.run();

/** A short run in which callers keep no limits, while daemons are killed, paused and restarted. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { runSoak } from './soakRun.js';

const SEED = 7001;

// Guards against processes that end, or run out of memory, by clients that keep no limits.
test('the promises hold while callers keep no limits and daemons come and go', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'snipehaven-platform-soak-'));
  const { violations, served } = await runSoak({
    seed: SEED,
    seconds: 8,
    scenario: 'hostile',
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

/** A short run in which nothing fails: restarts, changes and roll-outs that an operator plans. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { runSoak } from './soakRun.js';

const SEED = 801;

/** Other runs of the soak use the blocks below. */
const FIRST_BLOCK = 210;
const BLOCKS = 40;

test('sessions changed their version while daemons were restarted during roll-outs', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'snipehaven-planned-work-'));
  const { violations, served } = await runSoak({
    seed: SEED,
    seconds: 14,
    scenario: 'planned',
    vmsPerDataCentre: 2,
    callers: 24,
    folder,
    network: `127.${FIRST_BLOCK + (process.pid % BLOCKS)}`,
  });
  assert.equal(violations, [], `logs in ${folder}`);
  assert.ok(served > 0);
  rmSync(folder, { recursive: true });
});

test.run();

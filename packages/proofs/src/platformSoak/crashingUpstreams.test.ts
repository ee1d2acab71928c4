/** A short run in which upstreams end by what they are sent, while daemons are killed and restarted. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { runSoak } from './soakRun.js';

const SEED = 5_601;

/** Other runs of the soak use the blocks below. */
const BLOCK = 250;

// Guards against limits and suspicions that a daemon that has just started does not know of.
test('brittle upstreams fell over, or a part of prompts that crashes upstreams went on', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'snipehaven-crashing-upstreams-'));
  const { violations, faults } = await runSoak({
    seed: SEED,
    seconds: 14,
    scenario: 'crashes',
    vmsPerDataCentre: 2,
    callers: 24,
    folder,
    network: `127.${BLOCK}`,
  });
  assert.equal(violations, [], `logs in ${folder}`);
  assert.ok((faults.brittle ?? 0) > 0 && (faults.deadlyPart ?? 0) > 0);
  rmSync(folder, { recursive: true });
});

test.run();

/** A short run with the real programs; long ones and many seeds are run by hand. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Scenario } from './faults/index.js';
import { runSoak } from './soakRun.js';

interface Case {
  readonly scenario: Scenario;
  readonly seed: number;
}

const cases: Readonly<Record<string, Case>> = {
  'the promises hold while processes, paths, store and operator misbehave': {
    scenario: 'all',
    seed: 1,
  },
  'the promises hold while callers keep no limits and daemons come and go': {
    scenario: 'hostile',
    seed: 7001,
  },
};

for (const [name, { scenario, seed }] of Object.entries(cases)) {
  test(name, async () => {
    const folder = mkdtempSync(join(tmpdir(), 'snipehaven-platform-soak-'));
    const { violations, served } = await runSoak({
      seed,
      seconds: 8,
      scenario,
      vmsPerDataCentre: 1,
      callers: 12,
      folder,
      network: `127.${10 + (process.pid % 200)}`,
    });
    assert.equal(violations, [], `logs in ${folder}`);
    assert.ok(served > 0);
    rmSync(folder, { recursive: true });
  });
}

test.run();

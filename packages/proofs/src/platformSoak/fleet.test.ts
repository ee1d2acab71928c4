import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { StandinStore } from '@snipehaven/standins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { waitUntil } from '../soak/watch/repeat.js';
import { READY_TIMEOUT_MS } from './constants.js';
import { Fleet } from './fleet.js';
import { BackEnds } from './outside/backEnds.js';
import { Operator } from './outside/operator.js';
import type { VmState } from './types.js';

const POLL_MS = 50;

/** Other runs of the soak use the blocks below. */
const FIRST_BLOCK = 250;
const BLOCKS = 4;

// Guards against a VM that stays away once its process has exited by itself, unlike on the platform.
test('a process that exits by itself is counted and started again', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'snipehaven-fleet-'));
  const store = new StandinStore();
  await store.start();
  new Operator(store, new BackEnds(1)).apply();
  const fleet = new Fleet(folder, `127.${FIRST_BLOCK + (process.pid % BLOCKS)}`, 1);
  try {
    await fleet.start(store.address);
    const vm = fleet.vms[0] as VmState;
    const first = vm.process;
    first?.signal('SIGKILL');
    await first?.waitForExit();
    assert.ok(await waitUntil(() => fleet.isReady(vm), READY_TIMEOUT_MS, POLL_MS));
    assert.is.not(vm.process, first);
    assert.is(fleet.unexpectedExits.length, 1);
    assert.match(fleet.unexpectedExits[0] ?? '', `${vm.name}: code null, signal SIGKILL`);
  } finally {
    await fleet.stop();
    store.stop();
    rmSync(folder, { recursive: true });
  }
});

test.run();

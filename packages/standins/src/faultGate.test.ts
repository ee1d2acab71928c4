import * as assert from 'uvu/assert';
import { test } from 'uvu';
import { createRandom } from '@snipehaven/common';
import { ConnectionLostError, UnavailableError } from './errors.js';
import { FaultGate } from './faultGate.js';
import { TableCore } from './table.js';
import { withClock } from './testClock.js';

const getError = (call: Promise<unknown>): Promise<unknown> => call.catch((thrown) => thrown);

const WRITE = [{ conditions: [], writes: [{ key: 'a', value: 1 }] }];

test('a lost reply leaves the write in effect', async () => {
  // Symptom: the caller sees a broken connection and takes its write for undone.
  // Sequence: the table commits, then the reply is lost.
  // Cause: the fault strikes after the effect.
  const table = new TableCore();
  table.gate.setFaults({ loseNextReplies: 1 });
  assert.instance(await getError(table.transact(WRITE)), ConnectionLostError);
  assert.is(table.peek('a').length, 1);
  assert.is((await table.transact(WRITE)).length, 1);
  assert.is(table.gate.getTruth().lostReplies, 1);
});

test('a lost request and an outage do nothing', async () => {
  const table = new TableCore();
  table.gate.setFaults({ requestLossRate: 1 });
  assert.instance(await getError(table.transact(WRITE)), ConnectionLostError);
  table.gate.clearFaults();
  table.gate.setFaults({ isDown: true });
  assert.instance(await getError(table.transact(WRITE)), UnavailableError);
  assert.is(table.peek().length, 0);
});

test('only the cut client is cut', async () => {
  const gate = new FaultGate(createRandom(1));
  gate.setFaults({ cutClients: ['127.0.1.1'] });
  assert.instance(await getError(gate.run('127.0.1.1', () => 1)), ConnectionLostError);
  assert.is(await gate.run('127.0.1.2', () => 1), 1);
});

test('a silent loss never settles', () =>
  withClock(async (clock) => {
    const gate = new FaultGate(createRandom(1));
    gate.setFaults({ loseNextReplies: 1, lossKind: 'silent' });
    let hasRun = false;
    let hasSettled = false;
    const settle = (): void => {
      hasSettled = true;
    };
    const run = (): void => {
      hasRun = true;
    };
    gate.run('a', run).then(settle, settle);
    await clock.tickAsync(1_000_000);
    assert.ok(hasRun);
    assert.not.ok(hasSettled);
  }));

test('a slow call takes effect late, also when the outage began meanwhile', () =>
  withClock(async (clock) => {
    const table = new TableCore();
    table.gate.setFaults({ delayMs: 100, replyDelayMs: 50 });
    const replied = table.transact(WRITE);
    await clock.tickAsync(99);
    assert.is(table.peek().length, 0);
    await clock.tickAsync(1);
    assert.is(table.peek().length, 1);
    await clock.tickAsync(50);
    await replied;
    const failed = getError(table.transact(WRITE));
    table.gate.setFaults({ isDown: true });
    await clock.tickAsync(100);
    assert.instance(await failed, UnavailableError);
  }));

test.run();

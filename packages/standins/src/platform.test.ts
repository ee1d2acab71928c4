import * as assert from 'uvu/assert';
import { test } from 'uvu';
import { getExpectedAnswer, type VersionFaultKind } from './answers.js';
import { RateLimitedError, UnavailableError } from './errors.js';
import { ObjectStoreCore } from './objectStore.js';
import type { Rating } from './quality.js';
import { RaterCore } from './rater.js';
import { withClock } from './testClock.js';
import { VmListCore, type Vm } from './vmList.js';
import { WeightStoreCore } from './weightStore.js';

const createVm = (name: string): Vm => ({
  name,
  role: 'entry',
  dataCentre: 'a',
  address: '127.0.0.1:1',
  state: 'live',
});

const createRating = (id: string, fault?: VersionFaultKind): Rating => ({
  id,
  team: 'studio',
  task: 'tag',
  version: 'small@1',
  prompt: 'p',
  answer: getExpectedAnswer('p', 'small@1', 10, fault),
});

test('objects are replaced whole and not shared with callers', async () => {
  const store = new ObjectStoreCore();
  const bytes = new Uint8Array([1, 2]);
  await store.put('a/1', bytes);
  bytes[0] = 9;
  assert.equal([...((await store.get('a/1')) ?? [])], [1, 2]);
  await store.put('b/1', bytes);
  assert.equal(await store.list('a/'), ['a/1']);
  assert.ok(await store.delete('a/1'));
  assert.is(await store.get('a/1'), undefined);
});

test('the list of VMs shows what was some time ago', () =>
  withClock(async (clock) => {
    const list = new VmListCore({ vms: [createVm('a')], lagMs: 3000 });
    const getNames = async (): Promise<readonly string[]> =>
      (await list.list()).map(({ name }) => name);
    list.putVm(createVm('b'));
    await clock.tickAsync(1000);
    list.removeVm('a');
    assert.equal(await getNames(), ['a']);
    await clock.tickAsync(2000);
    assert.equal(await getNames(), ['a', 'b']);
    await clock.tickAsync(1000);
    assert.equal(await getNames(), ['b']);
    assert.equal(list.getVms(), [createVm('b')]);
  }));

test('scores come late, numbered as they are published, with gaps', () =>
  withClock(async (clock) => {
    const rater = new RaterCore({ ratingDelayMs: 1000 });
    await rater.submit([createRating('a')]);
    rater.setLossRate(1);
    await rater.submit([createRating('lost')]);
    rater.setLossRate(0);
    rater.setDelays(500, 0);
    await rater.submit([createRating('early')]);
    await clock.tickAsync(500);
    const first = await rater.list(0, 10);
    assert.equal(
      first.ratings.map(({ id }) => id),
      ['early'],
    );
    await clock.tickAsync(500);
    await rater.submit([createRating('b')]);
    await clock.tickAsync(500);
    const { ratings, lastSeq } = await rater.list(first.lastSeq, 10);
    assert.equal(
      ratings.map(({ seq, id }) => [seq, id]),
      [
        [2, 'a'],
        [4, 'b'],
      ],
    );
    assert.is(lastSeq, 4);
    rater.gate.setFaults({ isDown: true });
    assert.instance(
      await rater.rate(createRating('x')).catch((error: unknown) => error),
      UnavailableError,
    );
    const truth = rater.getTruth();
    assert.equal([truth.submitted, truth.published, truth.lost], [4, 3, 1]);
  }));

test('scores show the hidden quality and what is bad about an answer', async () => {
  const rater = new RaterCore({ means: { 'small@1': { '*': 0.8 } }, noise: 0, seed: 7 });
  const good = await rater.rate(createRating('a'));
  assert.ok(Math.abs(good - 0.8) <= 0.1);
  assert.is(await rater.rate(createRating('b')), good);
  assert.ok(Math.abs((await rater.rate(createRating('c', 'subtle'))) - (good - 0.3)) < 1e-9);
  assert.ok((await rater.rate(createRating('d', 'gross'))) < 0.1);
  assert.ok((await rater.rate(createRating('e', 'empty'))) < 0.1);
  const other = new RaterCore({ seed: 8 });
  assert.is.not(other.quality.getMean('x', 'y'), rater.quality.getMean('x', 'y'));
});

test('the weight store limits its rate', () =>
  withClock(async (clock) => {
    const store = new WeightStoreCore({ readsPerSecond: 1, sizeBytes: { 'small@1': 5 } });
    assert.is(await store.fetch('small@1'), 5);
    assert.instance(
      await store.fetch('small@1').catch((error: unknown) => error),
      RateLimitedError,
    );
    await clock.tickAsync(1000);
    assert.is(await store.fetch('small@1'), 5);
    assert.equal(store.getTruth().fetches, { 'small@1': 2 });
  }));

test.run();

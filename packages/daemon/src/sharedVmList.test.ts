import { install, type Clock } from '@sinonjs/fake-timers';
import type { ListedVm } from '@snipehaven/platform';
import type { Member } from '@snipehaven/protocol';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { READ_ALONE_AFTER_MS, RESUMED_AFTER_MS, SharedVmList } from './sharedVmList.js';

const peer = { dataCentre: 'a' } as Member;
const remote = { dataCentre: 'b' } as Member;

const createVm = (name: string, state: 'live' | 'leaving'): ListedVm => ({
  name,
  role: 'upstream',
  dataCentre: 'a',
  address: `10.0.0.1:${name.length}`,
  state,
});

/** Two daemons of one data centre over one list; `spread` exchanges at once. */
class Pair {
  constructor(readonly clock: Clock) {}

  vms: readonly ListedVm[] = [createVm('e1', 'live')];

  reads = { reader: 0, other: 0 };

  isReaderCutOff = false;

  readonly reader = this.#create('reader', () => true);

  readonly other = this.#create('other', () => false);

  /** Both have asked once, which each does for itself after a boot; counts the reads from here on. */
  async start(): Promise<void> {
    await this.reader.list();
    await this.other.list();
    this.exchange();
    this.reads = { reader: 0, other: 0 };
  }

  exchange(): void {
    [this.reader, this.other].forEach((from) => {
      const to = from === this.reader ? this.other : this.reader;
      const payload = from.getPayload(peer);
      if (payload !== undefined) {
        to.mergePayload(payload);
      }
    });
  }

  /** Time in which the other daemon asks each second, as its watcher does. */
  async pass(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 1_000) {
      this.clock.tick(Math.min(1_000, durationMs - passedMs));
      await this.other.list();
    }
  }

  async listLeavingAtOther(): Promise<readonly string[]> {
    const vms = await this.other.list();
    return vms.filter((vm) => vm.state === 'leaving').map((vm) => vm.name);
  }

  #create(who: 'reader' | 'other', ownsDuty: () => boolean): SharedVmList {
    const list = async (): Promise<readonly ListedVm[]> => {
      if (who === 'reader' && this.isReaderCutOff) {
        throw new Error('cut off');
      }
      this.reads[who] += 1;
      return this.vms;
    };
    const spread = (): void => this.exchange();
    return new SharedVmList({ source: { list }, localDataCentre: 'a', ownsDuty, spread });
  }
}

const test = suite('sharedVmList');
let clock: Clock;

test.before.each(() => {
  clock = install();
});

test.after.each(() => {
  clock.uninstall();
});

test('only the owner of the duty reads; the others hear at once what leaves and what stays again', async () => {
  const pair = new Pair(clock);
  await pair.start();
  assert.equal(await pair.listLeavingAtOther(), []);
  await pair.pass(1_000);
  pair.vms = [createVm('e1', 'leaving')];
  await pair.reader.list();
  assert.equal(await pair.listLeavingAtOther(), ['e1']);
  await pair.pass(1_000);
  pair.vms = [createVm('e1', 'live')];
  await pair.reader.list();
  assert.equal(await pair.listLeavingAtOther(), []);
  assert.equal(pair.reads, { reader: 2, other: 0 });
});

test('a spread that was lost is made up for by the next exchange', async () => {
  const pair = new Pair(clock);
  await pair.start();
  const { exchange } = pair;
  pair.exchange = () => undefined;
  await pair.pass(1_000);
  pair.vms = [createVm('e1', 'leaving')];
  await pair.reader.list();
  assert.equal(await pair.listLeavingAtOther(), []);
  pair.exchange = exchange;
  pair.exchange();
  assert.equal(await pair.listLeavingAtOther(), ['e1']);
});

test('what another data centre hears of the list is not told to it', async () => {
  const pair = new Pair(clock);
  await pair.reader.list();
  assert.is(pair.reader.getPayload(remote), undefined);
});

/**
 * Symptom: work goes on to an upstream that left minutes ago. Sequence: the reader is cut off from the list,
 * but alive to its peers, which wait for its word. Cause: trust in a reader that does not read.
 */
test('whoever hears of no read for a while reads for itself', async () => {
  const pair = new Pair(clock);
  await pair.start();
  pair.isReaderCutOff = true;
  pair.vms = [createVm('e1', 'leaving')];
  await pair.pass(READ_ALONE_AFTER_MS - 1);
  pair.exchange();
  assert.equal(await pair.listLeavingAtOther(), []);
  clock.tick(1);
  pair.exchange();
  assert.equal(await pair.listLeavingAtOther(), ['e1']);
  assert.is(pair.reads.other, 1);
});

/**
 * Symptom: work begins at a service seconds after it left. Sequence: a daemon freezes, the upstream leaves,
 * the daemon goes on and asks for the list. Cause: the word it holds is from before, yet within the bound.
 */
test('after a freeze the list is read anew', async () => {
  const pair = new Pair(clock);
  await pair.start();
  await pair.pass(1_000);
  pair.vms = [createVm('e1', 'leaving')];
  clock.tick(RESUMED_AFTER_MS - 1);
  assert.equal(await pair.listLeavingAtOther(), []);
  clock.tick(RESUMED_AFTER_MS);
  assert.equal(await pair.listLeavingAtOther(), ['e1']);
  assert.is(pair.reads.other, 1);
});

/**
 * Symptom: an upstream that stays is shunned by half of the daemons for good. Sequence: the duty moves to a
 * daemon whose clock is behind. Cause: its newer word carries an older stamp.
 */
test('a new reader whose clock is behind is believed', async () => {
  const pair = new Pair(clock);
  clock.setSystemTime(1_000_000);
  pair.vms = [createVm('e1', 'leaving')];
  await pair.start();
  const late = new SharedVmList({
    source: { list: async () => [createVm('e1', 'live')] },
    localDataCentre: 'a',
    ownsDuty: () => true,
    spread: () => undefined,
  });
  clock.setSystemTime(500_000);
  late.mergePayload(pair.other.getPayload(peer));
  await late.list();
  pair.other.mergePayload(late.getPayload(peer));
  assert.equal(await pair.listLeavingAtOther(), []);
});

test.run();

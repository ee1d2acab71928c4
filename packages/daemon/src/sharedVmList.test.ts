import { install, type Clock } from '@sinonjs/fake-timers';
import type { ListedVm } from '@snipehaven/platform';
import type { Member } from '@snipehaven/protocol';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { READ_ALONE_AFTER_MS, SharedVmList } from './sharedVmList.js';

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
  vms: readonly ListedVm[] = [createVm('e1', 'live')];

  reads = { reader: 0, other: 0 };

  isReaderCutOff = false;

  readonly reader = this.#create('reader', () => true);

  readonly other = this.#create('other', () => false);

  exchange(): void {
    [this.reader, this.other].forEach((from) => {
      const to = from === this.reader ? this.other : this.reader;
      const payload = from.getPayload(peer);
      if (payload !== undefined) {
        to.mergePayload(payload);
      }
    });
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
  const pair = new Pair();
  await pair.reader.list();
  pair.exchange();
  assert.equal(await pair.listLeavingAtOther(), []);
  clock.tick(1_000);
  pair.vms = [createVm('e1', 'leaving')];
  await pair.reader.list();
  assert.equal(await pair.listLeavingAtOther(), ['e1']);
  clock.tick(1_000);
  pair.vms = [createVm('e1', 'live')];
  await pair.reader.list();
  assert.equal(await pair.listLeavingAtOther(), []);
  assert.equal(pair.reads, { reader: 3, other: 0 });
});

test('a spread that was lost is made up for by the next exchange', async () => {
  const pair = new Pair();
  await pair.reader.list();
  pair.exchange();
  const { exchange } = pair;
  pair.exchange = () => undefined;
  clock.tick(1_000);
  pair.vms = [createVm('e1', 'leaving')];
  await pair.reader.list();
  assert.equal(await pair.listLeavingAtOther(), []);
  pair.exchange = exchange;
  pair.exchange();
  assert.equal(await pair.listLeavingAtOther(), ['e1']);
});

test('what another data centre hears of the list is not told to it', async () => {
  const pair = new Pair();
  await pair.reader.list();
  assert.is(pair.reader.getPayload(remote), undefined);
});

/**
 * Symptom: work goes on to an upstream that left minutes ago. Sequence: the reader is cut off from the list,
 * but alive to its peers, which wait for its word. Cause: trust in a reader that does not read.
 */
test('whoever hears of no read for a while reads for itself', async () => {
  const pair = new Pair();
  await pair.reader.list();
  pair.exchange();
  pair.isReaderCutOff = true;
  pair.vms = [createVm('e1', 'leaving')];
  clock.tick(READ_ALONE_AFTER_MS - 1);
  pair.exchange();
  assert.equal(await pair.listLeavingAtOther(), []);
  clock.tick(1);
  pair.exchange();
  assert.equal(await pair.listLeavingAtOther(), ['e1']);
  assert.is(pair.reads.other, 1);
});

/**
 * Symptom: an upstream that stays is shunned by half of the daemons for good. Sequence: the duty moves to a
 * daemon whose clock is behind. Cause: its newer word carries an older stamp.
 */
test('a new reader whose clock is behind is believed', async () => {
  const pair = new Pair();
  pair.vms = [createVm('e1', 'leaving')];
  clock.setSystemTime(1_000_000);
  await pair.reader.list();
  pair.exchange();
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

import { setInvariantsFatal } from '@snipehaven/common';
import type { Member } from '@snipehaven/protocol';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { TRANSMITS_PER_LOG_SIZE } from '../constants.js';
import { createMember, createRecords } from '../testing/createRecords.js';
import type { MemberRecords } from './memberRecords.js';

setInvariantsFatal(true);

const [self, near, far] = ['x0', 'x1', 'y0'].map((vm) => createMember(vm)) as [
  Member,
  Member,
  Member,
];

const getState = (records: MemberRecords, vm: string): string | undefined =>
  records.table.get(`${vm}#1`)?.state;

const test = suite('memberRecords');

test('only a higher refutation revives a dead member, and nothing revives one that left', () => {
  const records = createRecords(near, far);
  records.merge({ ...near, state: 'dead' }, near);
  records.merge(near, near);
  assert.is(getState(records, 'x1'), 'dead');
  records.merge({ ...near, refutation: 1 }, near);
  assert.is(getState(records, 'x1'), 'alive');
  records.merge({ ...near, state: 'left' }, near);
  records.merge({ ...near, refutation: 9 }, near);
  assert.is(getState(records, 'x1'), 'left');
});

test('a death is accepted from a nearby data centre, suspected from a third one, and only relayed for local members', () => {
  const third = createMember('z0');
  const records = createRecords(near, far, third);
  records.merge({ ...third, state: 'dead' }, far);
  assert.is(getState(records, 'z0'), 'suspect');
  records.merge({ ...third, state: 'dead' }, near);
  assert.is(getState(records, 'z0'), 'dead');
  records.merge({ ...near, state: 'dead' }, far);
  assert.is(getState(records, 'x1'), 'alive');
  assert.equal(records.nextRemoteSuspects(3), [near]);
  assert.equal(records.listSuspicions(near), [{ ...near, state: 'dead' }]);
  records.merge({ ...near, refutation: 1 }, near);
  assert.equal(records.nextRemoteSuspects(3), []);
});

test('an answer at an address ends every other incarnation there', () => {
  const records = createRecords(near, far);
  const successor = createMember('x9', { address: near.address });
  records.merge(successor, far);
  assert.is(getState(records, 'x1'), 'alive');
  records.confirm(successor);
  assert.is(getState(records, 'x1'), 'dead');
  assert.is(getState(records, 'x9'), 'alive');
});

test('a previous member at this process’s address is reported dead, known or not', () => {
  const records = createRecords(near);
  const predecessor = createMember('x8', { address: self.address });
  records.merge(predecessor, near);
  assert.is(getState(records, 'x8'), 'dead');
  const gossiped = records.broadcasts.take(9, 3, new Set()).map((member) => member.vm);
  assert.ok(gossiped.includes('x8'));
});

test('each update is gossiped a bounded number of times, the least sent one first', () => {
  const { broadcasts } = createRecords();
  const noIncarnations = new Set<string>();
  broadcasts.clear();
  broadcasts.add(near);
  assert.equal(broadcasts.take(1, 9, noIncarnations), [near]);
  broadcasts.add(far);
  assert.equal(broadcasts.take(1, 9, noIncarnations), [far]);
  assert.equal(broadcasts.take(2, 9, new Set([near.incarnation])), [far]);
  const rest = Array.from({ length: 20 }, () => broadcasts.take(2, 9, noIncarnations).length);
  assert.is(
    rest.reduce((sum, count) => sum + count, 3),
    2 * TRANSMITS_PER_LOG_SIZE,
  );
});

test('only updates about live members count as sent to a peer with an equal digest', () => {
  const { broadcasts } = createRecords();
  const dead: Member = { ...far, state: 'dead' };
  broadcasts.clear();
  [near, dead].forEach((member) => broadcasts.add(member));
  Array.from({ length: TRANSMITS_PER_LOG_SIZE }, () => broadcasts.countAliveAsSent(9));
  assert.equal(broadcasts.take(9, 9, new Set()), [dead]);
});

test.run();

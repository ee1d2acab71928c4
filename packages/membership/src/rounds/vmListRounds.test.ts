import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { createSilentLogger, setInvariantsFatal } from '@snipehaven/common';
import type { ListedVm } from '@snipehaven/platform';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { DEFAULT_MEMBERSHIP_SETTINGS, LISTED_GONE_FACTOR } from '../constants.js';
import { createMember, createRecords } from '../testing/createRecords.js';
import type { Healer } from './healer.js';
import { VmListRounds } from './vmListRounds.js';

setInvariantsFatal(true);

interface Context {
  clock: Clock;
}

const test = suite<Context>('vmListRounds', {} as Context);

test.before.each((context) => {
  context.clock = FakeTimers.install();
});

test.after.each(({ clock }) => clock.uninstall());

const [listed, leaving, absent] = ['x1', 'x2', 'x3'].map((vm) => createMember(vm));

const vms = [
  { name: 'x1', role: 'entry', dataCentre: 'x', address: 'x1', state: 'live' },
  { name: 'x2', role: 'entry', dataCentre: 'x', address: 'x2', state: 'leaving' },
  { name: 'u1', role: 'upstream', dataCentre: 'x', address: 'x3', state: 'live' },
] as const;

/** Suspects three members, reads the list, and lists who is still live after so long. */
const listSurvivors = async (
  clock: Clock,
  list: () => Promise<readonly ListedVm[]>,
  afterMs: number,
): Promise<readonly string[]> => {
  const members = [listed, leaving, absent].filter((member) => member !== undefined);
  const records = createRecords(...members);
  const healer = { hint: () => undefined } as unknown as Healer;
  const rounds = new VmListRounds({ list }, records, healer, createSilentLogger());
  members.forEach((member) => records.suspect(member));
  await rounds.run();
  rounds.hastenUnlisted();
  rounds.hastenUnlisted();
  clock.tick(afterMs);
  records.buryExpired();
  return records.listOthers().map((member) => member.vm);
};

const HASTENED_MS = DEFAULT_MEMBERSHIP_SETTINGS.suspicionMs * LISTED_GONE_FACTOR;

test('suspects that are not listed as live have less time, once', async ({ clock }) => {
  const list = async (): Promise<readonly ListedVm[]> => vms;
  assert.equal(await listSurvivors(clock, list, HASTENED_MS - 1), ['x1', 'x2', 'x3']);
  assert.equal(await listSurvivors(clock, list, HASTENED_MS), ['x1']);
});

test('a list that cannot be read says nothing about anyone', async ({ clock }) => {
  const list = async (): Promise<readonly ListedVm[]> => Promise.reject(new Error('away'));
  assert.equal(await listSurvivors(clock, list, HASTENED_MS), ['x1', 'x2', 'x3']);
});

test.run();

import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { createSilentLogger, setInvariantsFatal } from '@snipehaven/common';
import type { ListedVm } from '@snipehaven/platform';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { DEFAULT_MEMBERSHIP_SETTINGS, UNLISTED_SUSPICION_FACTOR } from '../constants.js';
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

/**
 * Suspects three members, reads the list, and returns the members that are still live after the
 * given time.
 */
const listSurvivors = async (
  clock: Clock,
  list: () => Promise<readonly ListedVm[]>,
  afterMs: number,
): Promise<readonly string[]> => {
  const members = [listed, leaving, absent].filter((member) => member !== undefined);
  const records = createRecords(...members);
  const healer = { setListedAddresses: () => undefined } as unknown as Healer;
  const rounds = new VmListRounds({ list }, records, healer, createSilentLogger());
  members.forEach((member) => records.suspect(member));
  await rounds.run();
  rounds.shortenUnlistedSuspicions();
  rounds.shortenUnlistedSuspicions();
  clock.tick(afterMs);
  records.declareExpiredDead();
  return records.listOthers().map((member) => member.vm);
};

const SHORTENED_MS = DEFAULT_MEMBERSHIP_SETTINGS.suspicionMs * UNLISTED_SUSPICION_FACTOR;

test('the time of suspects that are not listed as live is shortened once', async ({ clock }) => {
  const list = async (): Promise<readonly ListedVm[]> => vms;
  assert.equal(await listSurvivors(clock, list, SHORTENED_MS - 1), ['x1', 'x2', 'x3']);
  assert.equal(await listSurvivors(clock, list, SHORTENED_MS), ['x1']);
});

test('a list that cannot be read affects no member', async ({ clock }) => {
  const list = async (): Promise<readonly ListedVm[]> => Promise.reject(new Error('away'));
  assert.equal(await listSurvivors(clock, list, SHORTENED_MS), ['x1', 'x2', 'x3']);
});

test.run();

import { install, type Clock } from '@sinonjs/fake-timers';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { movePin } from './decideSessionVersion.js';
import { PinFixture } from './pinFixture.js';
import type { Pin } from './types.js';

interface Context {
  clock: Clock;
  fixture: PinFixture;
}

const pins = suite<Context>('ReplicatedPinDirectory');
const NAMES = ['a', 'b', 'c', 'd'];
const FLUSH_MS = 5_000;
const DAY_MS = 86_400_000;

const createPin = (changes: Partial<Pin> = {}): Pin => ({
  teamUid: 't1',
  session: 's1',
  model: 'small',
  version: 'small@1',
  startedAtMs: 1_000,
  generation: 1,
  ...changes,
});

pins.before.each((context) => {
  context.clock = install({ now: 1_000_000_000_000 });
  context.fixture = new PinFixture();
  NAMES.forEach((name) => context.fixture.add(name));
});
pins.after.each(({ clock }) => clock.uninstall());

/** Lets virtual time pass until the call has surely settled. */
const settle = async <Value>(
  clock: Clock,
  call: Promise<Value>,
  timeMs = 4_000,
): Promise<Value> => {
  call.catch(() => undefined);
  await clock.tickAsync(timeMs);
  return call;
};

const find = async ({ clock, fixture }: Context, name: string): Promise<Pin | undefined> =>
  settle(clock, fixture.get(name).find('t1', 's1'));

const pinAt = async ({ clock, fixture }: Context, name: string, pin: Pin): Promise<Pin> =>
  settle(clock, fixture.get(name).pin(pin));

/** A daemon that holds no copy of the session. */
const getOutsider = (fixture: PinFixture): string => fixture.getHolders(createPin())[2] as string;

pins(
  'a pin is known at every daemon, for its team alone, until unused for its lifetime',
  async (context) => {
    const { clock, fixture } = context;
    const pin = createPin();
    assert.equal(await pinAt(context, 'a', pin), pin);
    for (const name of NAMES) {
      assert.equal(await find(context, name), pin);
    }
    assert.is(await settle(clock, fixture.get('a').find('t2', 's1')), undefined);
    await clock.tickAsync(DAY_MS + FLUSH_MS);
    assert.is(await find(context, 'a'), undefined);
    assert.is(fixture.get('a').counts.pins, 0);
  },
);

pins(
  'a move beats the old version everywhere, and a stale offer does not undo it',
  async (context) => {
    const pin = createPin();
    await pinAt(context, 'a', pin);
    const moved = movePin(pin, 'small', 'small@2');
    assert.equal(await pinAt(context, 'b', moved), moved);
    assert.equal(await pinAt(context, 'c', createPin({ startedAtMs: 1 })), moved);
    assert.equal(await find(context, 'd'), moved);
  },
);

pins('two concurrent first requests of a session', async (context) => {
  // Symptom: one conversation is answered by two versions.
  // Sequence: two first requests at two daemons find no pin and choose different versions.
  // Cause: each took its own choice; the later one has the slower clock.
  const { clock, fixture } = context;
  const offers = [createPin({ startedAtMs: 9 }), createPin({ version: 'small@2', startedAtMs: 5 })];
  const calls = offers.map((offer, index) => fixture.get(NAMES[index] as string).pin(offer));
  const [first, second] = await settle(clock, Promise.all(calls));
  assert.equal(first, second);
  assert.equal(await find(context, 'd'), first);
  const later = createPin({ version: 'small@3', startedAtMs: 1 });
  assert.equal(
    await pinAt(context, 'c', later),
    first,
    'an answered pin stays, whatever the clocks',
  );
});

pins('two concurrent first requests while the owner is silent', async (context) => {
  // Symptom, sequence: as above, with a dead owner that nobody noticed yet.
  // Cause: each daemon stood in for the owner by itself instead of turning to the replica.
  const { clock, fixture } = context;
  const [owner, , third, fourth] = fixture.getHolders(createPin()) as [
    string,
    string,
    string,
    string,
  ];
  fixture.silent.add(owner);
  const offers = [createPin({ startedAtMs: 9 }), createPin({ version: 'small@2', startedAtMs: 5 })];
  const calls = [third, fourth].map((name, index) => fixture.get(name).pin(offers[index] as Pin));
  const [first, second] = await settle(clock, Promise.all(calls));
  assert.equal(first, second);
});

pins('the owner dies, noticed at once or not', async (context) => {
  // Symptom: sessions lose their version when a daemon dies.
  // Sequence: the owner dies right after it took the pin; a request comes before anyone noticed.
  // Cause: the pin was with the owner alone, or nobody asked its replica.
  const { fixture } = context;
  const pin = createPin();
  const [owner] = fixture.getHolders(pin) as [string];
  const outsider = getOutsider(fixture);
  await pinAt(context, outsider, pin);
  fixture.kill(owner);
  assert.equal(await find(context, outsider), pin);
  fixture.notice(owner);
  assert.equal(await find(context, outsider), pin);
});

pins('the replica dies, then the owner', async (context) => {
  // Symptom: as above, after two deaths in a row.
  // Sequence: the replica dies, a request comes, then the owner dies too; the table is away all along.
  // Cause: the new replica never got its copy.
  const { clock, fixture } = context;
  const pin = createPin();
  const [owner, replica, third] = fixture.getHolders(pin) as [string, string, string];
  NAMES.forEach((name) => fixture.cutFromTable.add(name));
  await pinAt(context, third, pin);
  fixture.kill(replica);
  fixture.notice(replica);
  assert.equal(await find(context, third), pin);
  await clock.tickAsync(FLUSH_MS);
  fixture.kill(owner);
  fixture.notice(owner);
  assert.equal(await find(context, third), pin);
});

pins('owner and replica die together', async (context) => {
  // Symptom: a rack fails and its sessions move.
  // Sequence: both holders die seconds after the pin was taken.
  // Cause: the pin was never written to the table.
  const { clock, fixture } = context;
  const pin = createPin();
  const [owner, replica, third] = fixture.getHolders(pin) as [string, string, string];
  await pinAt(context, third, pin);
  await clock.tickAsync(FLUSH_MS);
  [owner, replica].forEach((name) => fixture.kill(name));
  assert.equal(await find(context, third), pin, 'before anyone noticed');
  [owner, replica].forEach((name) => fixture.notice(name));
  assert.equal(await find(context, third), pin);
});

pins('the owner dies before it wrote, the replica much later', async (context) => {
  // Symptom: as above, though the table was well between the two deaths.
  // Sequence: the owner can't reach the table and dies; no request comes; the replica dies.
  // Cause: only the owner wrote pins, and the replica did not take that over.
  const { clock, fixture } = context;
  const pin = createPin();
  const [owner, replica, third] = fixture.getHolders(pin) as [string, string, string];
  fixture.cutFromTable.add(owner);
  await pinAt(context, third, pin);
  fixture.kill(owner);
  fixture.notice(owner);
  await clock.tickAsync(FLUSH_MS);
  fixture.kill(replica);
  fixture.notice(replica);
  assert.equal(await find(context, third), pin);
});

pins('a daemon joins and becomes the owner', async (context) => {
  // Symptom: sessions move when a VM is replaced.
  // Sequence: a new daemon ranks before the old holders and has nothing in memory.
  // Cause: it answered from its own memory alone; the table is away.
  const { fixture } = context;
  const pin = createPin();
  await pinAt(context, 'a', pin);
  NAMES.forEach((name) => fixture.cutFromTable.add(name));
  const newcomer = Array.from({ length: 99 }, (_item, index) => `n${index}`).find((name) => {
    fixture.add(name);
    return fixture.getHolders(pin)[0] === name;
  });
  fixture.daemons.forEach((_daemon, name) => {
    if (name !== newcomer && !NAMES.includes(name)) {
      fixture.notice(name);
    }
  });
  fixture.cutFromTable.add(newcomer as string);
  assert.is(fixture.getHolders(pin)[0], newcomer);
  assert.equal(await find(context, newcomer as string), pin);
});

/** Adds members until two newcomers are owner and replica; others that came are gone again. */
const replaceHolders = (fixture: PinFixture): void => {
  const isNew = (name: string): boolean => !NAMES.includes(name);
  for (let index = 0; !fixture.getHolders(createPin()).slice(0, 2).every(isNew); index += 1) {
    fixture.add(`n${index}`);
  }
  const newHolders = fixture.getHolders(createPin()).slice(0, 2);
  [...fixture.daemons.keys()]
    .filter((name) => isNew(name) && !newHolders.includes(name))
    .forEach((name) => fixture.notice(name));
};

[0, 2 * 60_000].forEach((quietMs) => {
  pins(`two daemons join and become the holders, asked ${quietMs} ms later`, async (context) => {
    // Symptom: sessions change their version after replacements close together.
    // Sequence: two newcomers rank before both old holders, which live; the table is away.
    // Cause: the new owner asked its replica and the table only, and took their silence for "no pin".
    const { clock, fixture } = context;
    const pin = createPin();
    await pinAt(context, 'a', pin);
    replaceHolders(fixture);
    fixture.daemons.forEach((_daemon, name) => fixture.cutFromTable.add(name));
    await clock.tickAsync(quietMs);
    const [owner] = fixture.getHolders(pin) as [string];
    assert.equal(await find(context, owner), pin);
  });
});

[0, 1, 2].forEach((asked) => {
  pins(`both holders die while the table is slow, asked at ${asked}`, async (context) => {
    // Symptom: as above; the version of a session's first answer was written to the table.
    // Sequence: owner and replica are killed; the table takes 1 s to answer.
    // Cause: a table that did not answer within 250 ms counted as a row without the pin.
    const { clock, fixture } = context;
    const pin = createPin();
    fixture.add('e');
    await pinAt(context, 'a', pin);
    await clock.tickAsync(FLUSH_MS);
    const [owner, replica] = fixture.getHolders(pin) as [string, string];
    [owner, replica].forEach((name) => fixture.kill(name));
    [owner, replica].forEach((name) => fixture.notice(name));
    fixture.table.readDelayMs = 1_000;
    const name = fixture.getHolders(pin)[asked] as string;
    const offered = createPin({ version: 'small@2', startedAtMs: 5 });
    assert.equal(await find(context, name), pin);
    assert.equal(await pinAt(context, name, offered), pin);
  });
});

pins('data centres cut off from each other pin the same session', async (context) => {
  // Symptom: a session flips between versions for good.
  // Sequence: both sides of a cut pin the session; the cut heals.
  // Cause: each side kept its own pin, or the sides chose differently.
  const { clock, fixture } = context;
  ['x', 'y'].forEach((name) => fixture.add(name, 'dc2'));
  ['x', 'y'].forEach((name) => fixture.cutFromTable.add(name));
  const early = createPin();
  const late = createPin({ version: 'small@2', startedAtMs: 2_000 });
  await pinAt(context, 'a', early);
  assert.equal(await pinAt(context, 'x', late), late, 'a cut-off data centre goes on');
  assert.equal(await find(context, 'y'), late);
  fixture.cutFromTable.clear();
  await clock.tickAsync(FLUSH_MS);
  for (const name of ['a', 'x', 'y']) {
    assert.equal(await find(context, name), early);
  }
  assert.equal([...new Set(fixture.events)], ['sessionMoved']);
});

pins('a stand-in hands its pins back', async (context) => {
  // Symptom: a session pinned while its holders were silent loses its version when they return.
  // Sequence: owner and replica are silent and the table is away; a third daemon pins; all return.
  // Cause: the stand-in kept the pin to itself.
  const { fixture } = context;
  const pin = createPin();
  const [owner, replica, third, fourth] = fixture.getHolders(pin) as [
    string,
    string,
    string,
    string,
  ];
  NAMES.forEach((name) => fixture.cutFromTable.add(name));
  [owner, replica].forEach((name) => fixture.silent.add(name));
  assert.equal(await pinAt(context, third, pin), pin);
  fixture.silent.clear();
  assert.equal(await find(context, third), pin);
  assert.equal(await find(context, fourth), pin);
});

pins('writes stay under the rate shared by all daemons, many pins to a row', async (context) => {
  const { clock, fixture } = context;
  Array.from({ length: 12 }, (_item, index) => fixture.add(`n${index}`));
  await clock.tickAsync(60_000);
  const sessions = Array.from({ length: 3_000 }, (_item, index) => `s${index}`);
  const calls = sessions.map((session) => fixture.get('a').pin(createPin({ session })));
  const writesBySecond: number[] = [];
  for (let second = 0; second < 10; second += 1) {
    const before = fixture.table.writeCount;
    await clock.tickAsync(1_000);
    writesBySecond.push(fixture.table.writeCount - before);
  }
  await Promise.all(calls);
  assert.ok(Math.max(...writesBySecond) <= 60 + fixture.daemons.size, `${writesBySecond}`);
  await clock.tickAsync(30_000);
  assert.ok(fixture.table.writeCount <= 1_024 + 60, `${fixture.table.writeCount} writes`);
  NAMES.forEach((name) => assert.is(fixture.get(name).counts.unwrittenBuckets, 0));
});

pins.run();

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

/** Advances the clock until the call must have settled. */
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
const getNonHolder = (fixture: PinFixture): string => fixture.getHolders(createPin())[2] as string;

pins(
  'every daemon finds a pin, only for its team, until it is unused for its lifetime',
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
  'a move supersedes the old version everywhere, and a stale offer does not undo it',
  async (context) => {
    const pin = createPin();
    await pinAt(context, 'a', pin);
    const moved = movePin(pin, 'small', 'small@2');
    assert.equal(await pinAt(context, 'b', moved), moved);
    assert.equal(await pinAt(context, 'c', createPin({ startedAtMs: 1 })), moved);
    assert.equal(await find(context, 'd'), moved);
  },
);

pins('two concurrent first requests of a session get the same pin', async (context) => {
  // Two first requests of a session reach two daemons, find no pin and choose different versions.
  // If each keeps its own choice, one conversation is answered by two versions; here the later
  // offer comes from the slower clock.
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
    'a pin already answered with stays, regardless of clocks',
  );
});

pins(
  'two concurrent first requests get the same pin while the owner is unresponsive',
  async (context) => {
    // As above while the owner is dead and nobody has detected it: both daemons must turn to the
    // replica instead of each acting as the owner.
    const { clock, fixture } = context;
    const [owner, , third, fourth] = fixture.getHolders(createPin()) as [
      string,
      string,
      string,
      string,
    ];
    fixture.unresponsive.add(owner);
    const offers = [
      createPin({ startedAtMs: 9 }),
      createPin({ version: 'small@2', startedAtMs: 5 }),
    ];
    const calls = [third, fourth].map((name, index) => fixture.get(name).pin(offers[index] as Pin));
    const [first, second] = await settle(clock, Promise.all(calls));
    assert.equal(first, second);
  },
);

pins('a pin survives the death of its owner, detected or not', async (context) => {
  // The owner dies right after it stored the pin, and a request arrives before anyone has detected
  // that. The session loses its version if only the owner had the pin, or if the replica is not
  // asked.
  const { fixture } = context;
  const pin = createPin();
  const [owner] = fixture.getHolders(pin) as [string];
  const nonHolder = getNonHolder(fixture);
  await pinAt(context, nonHolder, pin);
  fixture.kill(owner);
  assert.equal(await find(context, nonHolder), pin);
  fixture.detectDeath(owner);
  assert.equal(await find(context, nonHolder), pin);
});

pins('a pin survives the death of the replica followed by the owner', async (context) => {
  // The replica dies, a request arrives, then the owner dies too, while the table is down all the
  // time. The session loses its version unless the new replica received a copy.
  const { clock, fixture } = context;
  const pin = createPin();
  const [owner, replica, third] = fixture.getHolders(pin) as [string, string, string];
  NAMES.forEach((name) => fixture.cutFromTable.add(name));
  await pinAt(context, third, pin);
  fixture.kill(replica);
  fixture.detectDeath(replica);
  assert.equal(await find(context, third), pin);
  await clock.tickAsync(FLUSH_MS);
  fixture.kill(owner);
  fixture.detectDeath(owner);
  assert.equal(await find(context, third), pin);
});

pins('a pin survives the simultaneous death of owner and replica', async (context) => {
  // A rack failure kills both holders seconds after the pin was stored. The sessions move unless
  // the pin was written to the table.
  const { clock, fixture } = context;
  const pin = createPin();
  const [owner, replica, third] = fixture.getHolders(pin) as [string, string, string];
  await pinAt(context, third, pin);
  await clock.tickAsync(FLUSH_MS);
  [owner, replica].forEach((name) => fixture.kill(name));
  assert.equal(await find(context, third), pin, 'before the deaths are detected');
  [owner, replica].forEach((name) => fixture.detectDeath(name));
  assert.equal(await find(context, third), pin);
});

pins(
  'a pin survives an owner that dies before writing it and a later death of the replica',
  async (context) => {
    // The owner cannot reach the table and dies, no request arrives, and the replica dies later.
    // Although the table works between the two deaths, the pin is lost if the replica does not take
    // over writing it.
    const { clock, fixture } = context;
    const pin = createPin();
    const [owner, replica, third] = fixture.getHolders(pin) as [string, string, string];
    fixture.cutFromTable.add(owner);
    await pinAt(context, third, pin);
    fixture.kill(owner);
    fixture.detectDeath(owner);
    await clock.tickAsync(FLUSH_MS);
    fixture.kill(replica);
    fixture.detectDeath(replica);
    assert.equal(await find(context, third), pin);
  },
);

pins('a daemon that joins and becomes the owner finds the pin', async (context) => {
  // A VM is replaced: the new daemon ranks before the old holders and has nothing in memory, and
  // the table is down. The session moves if the new owner answers from its own memory alone.
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
      fixture.detectDeath(name);
    }
  });
  fixture.cutFromTable.add(newcomer as string);
  assert.is(fixture.getHolders(pin)[0], newcomer);
  assert.equal(await find(context, newcomer as string), pin);
});

/**
 * Adds members until two of them are owner and replica, then marks the other added members as dead.
 */
const replaceHolders = (fixture: PinFixture): void => {
  const isNew = (name: string): boolean => !NAMES.includes(name);
  for (let index = 0; !fixture.getHolders(createPin()).slice(0, 2).every(isNew); index += 1) {
    fixture.add(`n${index}`);
  }
  const newHolders = fixture.getHolders(createPin()).slice(0, 2);
  [...fixture.daemons.keys()]
    .filter((name) => isNew(name) && !newHolders.includes(name))
    .forEach((name) => fixture.detectDeath(name));
};

[0, 2 * 60_000].forEach((quietMs) => {
  pins(
    `two daemons that join and become the holders find the pin ${quietMs} ms later`,
    async (context) => {
      // Replacements in short succession: two new daemons rank before both old holders, which are
      // alive, and the table is down. The version changes if the new owner asks only its replica and
      // the table, and takes their silence for "no pin".
      const { clock, fixture } = context;
      const pin = createPin();
      await pinAt(context, 'a', pin);
      replaceHolders(fixture);
      fixture.daemons.forEach((_daemon, name) => fixture.cutFromTable.add(name));
      await clock.tickAsync(quietMs);
      const [owner] = fixture.getHolders(pin) as [string];
      assert.equal(await find(context, owner), pin);
    },
  );
});

[0, 1, 2].forEach((asked) => {
  pins(
    `a pin survives the death of both holders while the table is slow, queried at rank ${asked}`,
    async (context) => {
      // Owner and replica are killed while the table, which contains the pin, takes 1 s to respond.
      // The version changes if a table that does not respond within 250 ms counts as a row without
      // the pin.
      const { clock, fixture } = context;
      const pin = createPin();
      fixture.add('e');
      await pinAt(context, 'a', pin);
      await clock.tickAsync(FLUSH_MS);
      const [owner, replica] = fixture.getHolders(pin) as [string, string];
      [owner, replica].forEach((name) => fixture.kill(name));
      [owner, replica].forEach((name) => fixture.detectDeath(name));
      fixture.table.readDelayMs = 1_000;
      const name = fixture.getHolders(pin)[asked] as string;
      const offered = createPin({ version: 'small@2', startedAtMs: 5 });
      assert.equal(await find(context, name), pin);
      assert.equal(await pinAt(context, name, offered), pin);
    },
  );
});

pins('partitioned data centres that pin the same session agree afterwards', async (context) => {
  // Both sides of a network partition pin the session, then the partition heals. If each side keeps
  // its own pin, or the sides choose differently, the session alternates between versions forever.
  const { clock, fixture } = context;
  ['x', 'y'].forEach((name) => fixture.add(name, 'dc2'));
  ['x', 'y'].forEach((name) => fixture.cutFromTable.add(name));
  const early = createPin();
  const late = createPin({ version: 'small@2', startedAtMs: 2_000 });
  await pinAt(context, 'a', early);
  assert.equal(
    await pinAt(context, 'x', late),
    late,
    'a partitioned data centre continues to serve',
  );
  assert.equal(await find(context, 'y'), late);
  fixture.cutFromTable.clear();
  await clock.tickAsync(FLUSH_MS);
  for (const name of ['a', 'x', 'y']) {
    assert.equal(await find(context, name), early);
  }
  assert.equal([...new Set(fixture.events)], ['sessionMoved']);
});

pins('a daemon that acted as the owner hands its pins over', async (context) => {
  // Owner and replica are unresponsive and the table is down, so a third daemon stores the pin.
  // When all return, the session loses its version if that daemon does not hand the pin over.
  const { fixture } = context;
  const pin = createPin();
  const [owner, replica, third, fourth] = fixture.getHolders(pin) as [
    string,
    string,
    string,
    string,
  ];
  NAMES.forEach((name) => fixture.cutFromTable.add(name));
  [owner, replica].forEach((name) => fixture.unresponsive.add(name));
  assert.equal(await pinAt(context, third, pin), pin);
  fixture.unresponsive.clear();
  assert.equal(await find(context, third), pin);
  assert.equal(await find(context, fourth), pin);
});

pins(
  'writes stay below the rate limit shared by all daemons, with many pins per row',
  async (context) => {
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
  },
);

pins.run();

/** Readers of a table and their followers over a store in memory: who asks it, and how often. */
import { createRandom, createSilentLogger, sleep } from '@snipehaven/common';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { Freshness } from '../configuration/freshness.js';
import { ReaderRegistry } from '../peers/index.js';
import { TableWatcher } from './tableWatcher.js';
import { MemoryStore } from './testSupport/memoryStore.js';

const TABLE = 'upstreams';
const DAEMONS = 9;
const READERS = 4;
const WAIT_MS = 60;
const POLL_MS = 5;
const STEP_MS = 60_000;

interface Daemon {
  readonly vm: string;
  readonly readerRegistry: ReaderRegistry;
  readonly watcher: TableWatcher;
  readonly known: Set<string>;
  readonly freshness: Freshness;
}

const createDaemon = (vm: string, store: MemoryStore): Daemon => {
  const readerRegistry = new ReaderRegistry(vm, 'a');
  const known = new Set<string>();
  const freshness = new Freshness();
  const watcher = new TableWatcher({
    table: TABLE,
    getWaitMs: () => WAIT_MS,
    gatherMs: 0,
    store: store.createClient(vm),
    listener: {
      onAll: (rows) => rows.forEach(({ key }) => known.add(key)),
      onChange: ({ key, value }) => {
        if (value === undefined) {
          known.delete(key);
        } else {
          known.add(key);
        }
      },
    },
    logger: createSilentLogger(),
    random: createRandom(1),
    freshness,
    readerRegistry,
    countDaemons: () => DAEMONS,
    getReaderRank: () => 0,
  });
  return { vm, readerRegistry, watcher, known, freshness };
};

const TELL_MS = 10;

/** All hear all, as by datagrams: at each change and now and then. */
const connect = (daemons: readonly Daemon[]): NodeJS.Timeout => {
  let sequence = 0;
  const tell = (from: Daemon): void => {
    sequence += 1;
    const { vm, readerRegistry } = from;
    const origin = { vm, dataCentre: 'a', process: 1, sequence };
    const message = {
      ...origin,
      loads: new Map(),
      scope: 'own' as const,
      readers: [],
      members: 0,
      learned: { paces: [], demands: [], rollouts: [] },
    };
    daemons
      .filter((to) => to !== from)
      .forEach((to) =>
        to.readerRegistry.receiveReports(
          { ...message, news: readerRegistry.ownReports },
          performance.now(),
        ),
      );
  };
  daemons.forEach((from) =>
    from.readerRegistry.onOwnChanges((changes) => {
      daemons
        .filter((to) => to !== from)
        .forEach((to) => to.readerRegistry.receiveChanges(changes));
      tell(from);
    }),
  );
  return setInterval(() => daemons.forEach(tell), TELL_MS);
};

const waitUntil = async (holds: () => boolean): Promise<void> => {
  for (let tries = 0; tries < 400 && !holds(); tries += 1) {
    await sleep(POLL_MS);
  }
  assert.ok(holds());
};

/** Runs daemons until a few of them read and the others follow; then plays. */
const play = async (
  act: (store: MemoryStore, daemons: readonly Daemon[]) => Promise<void>,
): Promise<void> => {
  const store = new MemoryStore();
  store.put('first');
  const daemons = Array.from({ length: DAEMONS }, (_, index) => createDaemon(`vm-${index}`, store));
  const telling = connect(daemons);
  daemons.forEach(({ watcher }) => {
    void watcher.run();
  });
  try {
    await waitUntil(
      () =>
        daemons.filter(({ readerRegistry }) => readerRegistry.ownReports.length > 0).length ===
        READERS,
    );
    await act(store, daemons);
  } finally {
    clearInterval(telling);
    daemons.forEach(({ watcher }) => watcher.stop());
  }
};

// Symptom: sixty daemons ask the store after each change, though a few read for all: 5,000 to 9,000
// calls in a minute. Sequence: heartbeats raise the store's version, a reader's question is answered
// without a change, then a row changes. Cause: what was passed on went on from the reader's question,
// later than what the others have.
test('followers take changes from readers, whatever else the store counts', async () => {
  await play(async (store, daemons) => {
    const followers = daemons.filter(
      ({ readerRegistry }) => readerRegistry.ownReports.length === 0,
    );
    await sleep(WAIT_MS * 2);
    const before = followers.map(({ vm }) => store.getCalls(vm));
    for (const key of ['second', 'third', 'fourth']) {
      store.raiseVersion();
      await sleep(WAIT_MS * 2);
      store.put(key);
      await waitUntil(() => daemons.every(({ known }) => known.has(key)));
    }
    store.remove('first');
    await waitUntil(() => daemons.every(({ known }) => !known.has('first')));
    const asked = followers.map(({ vm }, index) => store.getCalls(vm) - (before[index] ?? 0));
    assert.equal(
      asked,
      asked.map(() => 0),
    );
  });
});

// Symptom: a request goes to an upstream that is gone. Sequence: a follower loses the datagram of its
// removal; the next change comes. Cause: a gap in what was passed on that nobody notices.
test('a follower that missed a change asks the store for it', async () => {
  await play(async (store, daemons) => {
    const follower = daemons.find(({ readerRegistry }) => readerRegistry.ownReports.length === 0);
    assert.ok(follower);
    const { readerRegistry } = follower;
    const takeChanges = readerRegistry.receiveChanges.bind(readerRegistry);
    readerRegistry.receiveChanges = () => false;
    store.remove('first');
    await waitUntil(() => !daemons.some((one) => one !== follower && one.known.has('first')));
    readerRegistry.receiveChanges = takeChanges;
    store.put('second');
    await waitUntil(() => follower.known.has('second') && !follower.known.has('first'));
  });
});

/** Two daemons that both read the table. */
const playTwoReaders = async (
  act: (store: MemoryStore, daemons: readonly Daemon[]) => Promise<void>,
): Promise<void> => {
  const store = new MemoryStore();
  store.put('first');
  const daemons = ['vm-0', 'vm-1'].map((vm) => createDaemon(vm, store));
  const telling = connect(daemons);
  daemons.forEach(({ watcher }) => {
    void watcher.run();
  });
  try {
    await waitUntil(() =>
      daemons.every(
        ({ readerRegistry, known }) => readerRegistry.ownReports.length > 0 && known.size > 0,
      ),
    );
    await act(store, daemons);
  } finally {
    clearInterval(telling);
    daemons.forEach(({ watcher }) => watcher.stop());
    store.silent.clear();
  }
};

// Symptom: a cold upstream gets more than it takes, from one daemon. Sequence: the store turns that daemon
// away; the upstream turns cold, and the others pass that on. Cause: a reader that lost the store waits for
// its own next answer, and leaves what others tell.
test('a reader that the store turns away takes what another one passes on', async () => {
  await playTwoReaders(async (store, daemons) => {
    store.turnedAway.add('vm-0');
    await sleep(WAIT_MS * 2);
    for (const key of ['second', 'third']) {
      store.put(key);
      await waitUntil(() => daemons.every(({ known }) => known.has(key)));
    }
  });
});

test('a reader whose question hangs did not take what another one passed on', async () => {
  await playTwoReaders(async (store, daemons) => {
    store.silent.add('vm-0');
    for (const key of ['second', 'third']) {
      store.put(key);
      await waitUntil(() => daemons.every(({ known }) => known.has(key)));
    }
    store.remove('second');
    await waitUntil(() => daemons.every(({ known }) => !known.has('second')));
    store.silent.delete('vm-0');
    store.put('fourth');
    await waitUntil(() => daemons.every(({ known }) => known.has('fourth')));
    assert.ok(daemons.every(({ known }) => !known.has('second')));
  });
});

// Guards against a table that looks outdated while its reader's own store request is pending.
test('a reader whose store request hangs confirms its table by the news of another reader', async () => {
  await playTwoReaders(async (store, [stalledReader]) => {
    store.silent.add('vm-0');
    await sleep(WAIT_MS * 3);
    const pendingAtMs = performance.now();
    const getConfirmedAtMs = (): number =>
      performance.now() - (stalledReader?.freshness.ageMs ?? Infinity);
    await waitUntil(() => getConfirmedAtMs() > pendingAtMs);
  });
});

// Symptom: a daemon refuses keyed requests for good, 18 s in a soak, while the store is well and its
// news come. Sequence: a follower's time of day steps. Cause: others' news confirm nothing then; it
// asked nobody.
test('a follower whose time of day stepped asks the store itself, and is fresh again', async () => {
  await play(async (store, daemons) => {
    const followers = daemons.filter(
      ({ readerRegistry }) => readerRegistry.ownReports.length === 0,
    );
    const before = followers.map(({ vm }) => store.getCalls(vm));
    const readTime = Date.now;
    Date.now = () => readTime() + STEP_MS;
    try {
      const hasAsked = ({ vm }: Daemon, index: number) => store.getCalls(vm) > (before[index] ?? 0);
      await waitUntil(() => followers.every(hasAsked));
      await waitUntil(() => followers.every(({ freshness }) => freshness.ageMs < STEP_MS));
    } finally {
      Date.now = readTime;
    }
  });
});

test.run();

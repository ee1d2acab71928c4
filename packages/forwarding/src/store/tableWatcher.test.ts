/**
 * Readers and followers of a table with an in-memory store: which daemons make calls, and how many.
 */
import { createRandom, createSilentLogger, sleep } from '@snipehaven/common';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { Freshness } from '../configuration/freshness.js';
import { ReaderRegistry } from '../peers/index.js';
import { StoreEra } from './storeEra.js';
import { TableWatcher } from './tableWatcher.js';
import type { RowStore } from './types.js';
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
  const storeEra = new StoreEra();
  const readerRegistry = new ReaderRegistry(vm, 'a', storeEra);
  const known = new Set<string>();
  const freshness = new Freshness();
  const watcher = new TableWatcher({
    table: TABLE,
    getWaitMs: () => WAIT_MS,
    batchDelayMs: 0,
    store: store.createClient(vm, (era) => storeEra.observe(era, 'store')),
    listener: {
      onSnapshot: (rows) => rows.forEach(({ key }) => known.add(key)),
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
    storeEra,
    countDaemons: () => DAEMONS,
    getReaderRank: () => 0,
  });
  return { vm, readerRegistry, watcher, known, freshness };
};

const REPORT_INTERVAL_MS = 10;

/** Connects all daemons as datagrams do: reports are sent after each change and periodically. */
const connect = (daemons: readonly Daemon[]): NodeJS.Timeout => {
  let sequence = 0;
  const sendReports = (from: Daemon): void => {
    sequence += 1;
    const { vm, readerRegistry } = from;
    const sender = { vm, dataCentre: 'a', process: 1, sequence };
    const message = {
      ...sender,
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
      sendReports(from);
    }),
  );
  return setInterval(() => daemons.forEach(sendReports), REPORT_INTERVAL_MS);
};

const waitUntil = async (holds: () => boolean): Promise<void> => {
  for (let tries = 0; tries < 400 && !holds(); tries += 1) {
    await sleep(POLL_MS);
  }
  assert.ok(holds());
};

/** Runs daemons until a few of them read and the others follow, then calls `act`. */
const runWithFollowers = async (
  act: (store: MemoryStore, daemons: readonly Daemon[]) => Promise<void>,
): Promise<void> => {
  const store = new MemoryStore();
  store.put('first');
  const daemons = Array.from({ length: DAEMONS }, (_, index) => createDaemon(`vm-${index}`, store));
  const reportTimer = connect(daemons);
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
    clearInterval(reportTimer);
    daemons.forEach(({ watcher }) => watcher.stop());
  }
};

// Guards against followers that ask the store after each change although a few daemons read for
// all; sixty daemons made 5,000 to 9,000 calls a minute. Heartbeats raise the store's version, and
// the reader's request returns without a change. When relayed changes started at the version of the
// reader's last request, they left a gap after the version of the followers.
test('followers apply changes relayed by readers, whatever else raises the store’s version', async () => {
  await runWithFollowers(async (store, daemons) => {
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

// Guards against an unnoticed gap in relayed changes: a follower that lost the datagram of an
// upstream's removal would send requests to it after the next change.
test('a follower that missed a change asks the store for it', async () => {
  await runWithFollowers(async (store, daemons) => {
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

/** Runs two daemons that both read the table, then calls `act`. */
const runWithTwoReaders = async (
  act: (store: MemoryStore, daemons: readonly Daemon[]) => Promise<void>,
): Promise<void> => {
  const store = new MemoryStore();
  store.put('first');
  const daemons = ['vm-0', 'vm-1'].map((vm) => createDaemon(vm, store));
  const reportTimer = connect(daemons);
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
    clearInterval(reportTimer);
    daemons.forEach(({ watcher }) => watcher.stop());
    store.unresponsiveVms.clear();
  }
};

// Guards against a rejected reader that waits for its own next answer and ignores relayed changes:
// it would send a cold upstream more requests than the upstream can take.
test('a reader that the store rejects applies changes relayed by another reader', async () => {
  await runWithTwoReaders(async (store, daemons) => {
    store.rejectedVms.add('vm-0');
    await sleep(WAIT_MS * 2);
    for (const key of ['second', 'third']) {
      store.put(key);
      await waitUntil(() => daemons.every(({ known }) => known.has(key)));
    }
  });
});

test('a reader whose store request hangs applies changes relayed by another reader', async () => {
  await runWithTwoReaders(async (store, daemons) => {
    store.unresponsiveVms.add('vm-0');
    for (const key of ['second', 'third']) {
      store.put(key);
      await waitUntil(() => daemons.every(({ known }) => known.has(key)));
    }
    store.remove('second');
    await waitUntil(() => daemons.every(({ known }) => !known.has('second')));
    store.unresponsiveVms.delete('vm-0');
    store.put('fourth');
    await waitUntil(() => daemons.every(({ known }) => known.has('fourth')));
    assert.ok(daemons.every(({ known }) => !known.has('second')));
  });
});

// Guards against a table that looks outdated while its reader's own store request is pending.
test('a reader whose store request hangs confirms its table by reports of another reader', async () => {
  await runWithTwoReaders(async (store, [stalledReader]) => {
    store.unresponsiveVms.add('vm-0');
    await sleep(WAIT_MS * 3);
    const pendingAtMs = performance.now();
    const getConfirmedAtMs = (): number =>
      performance.now() - (stalledReader?.freshness.ageMs ?? Infinity);
    await waitUntil(() => getConfirmedAtMs() > pendingAtMs);
  });
});

// Guards against a follower that refuses keyed requests permanently (18 s in a soak test) although
// the store is reachable and reports arrive. After a step of its wall clock, reports of others
// confirm nothing, so it must ask the store itself.
test('a follower whose wall clock stepped asks the store and is up to date again', async () => {
  await runWithFollowers(async (store, daemons) => {
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

// Guards against changes that a request of before the store's return leaves out.
test('an answer in a later era than that of its request is not applied', async () => {
  const row = (key: string, era: number, version: number) => ({ key, value: key, era, version });
  const asked: string[] = [];
  let era = 1;
  const store: RowStore = {
    readRows: () => {
      asked.push('rows');
      const items = era === 1 ? [row('old', 1, 40)] : [row('missed', 2, 35), row('new', 2, 52)];
      return Promise.resolve({ items, era, version: era === 1 ? 50 : 52, serverTimeMs: 1 });
    },
    readChanges: async (_table, after) => {
      asked.push(`after ${after}`);
      await sleep(POLL_MS);
      const items = era === 1 || after >= 52 ? [] : [row('new', 2, 52)];
      return { items, era, version: era === 1 ? 50 : 52, serverTimeMs: 1 };
    },
    write: () => Promise.resolve({ isWritten: false, era }),
    remove: () => Promise.resolve(),
    close: () => {},
  };
  const storeEra = new StoreEra();
  const known = new Set<string>();
  const watcher = new TableWatcher({
    table: TABLE,
    getWaitMs: () => WAIT_MS,
    batchDelayMs: 0,
    store: {
      ...store,
      readChanges: async (...call) => {
        const page = await store.readChanges(...call);
        storeEra.observe(page.era, 'store');
        return page;
      },
    },
    listener: {
      onSnapshot: (rows) => {
        known.clear();
        rows.forEach(({ key }) => known.add(key));
      },
      onChange: ({ key }) => known.add(key),
    },
    logger: createSilentLogger(),
    random: createRandom(1),
    freshness: new Freshness(),
    readerRegistry: new ReaderRegistry('vm-0', 'a', storeEra),
    storeEra,
    countDaemons: () => 1,
    getReaderRank: () => 0,
  });
  void watcher.run();
  await waitUntil(() => asked.includes('after 50'));
  era = 2;
  await waitUntil(() => known.has('missed'));
  watcher.stop();
  assert.equal([...known], ['missed', 'new']);
  assert.is(asked.filter((call) => call === 'rows').length, 2);
});

test.run();

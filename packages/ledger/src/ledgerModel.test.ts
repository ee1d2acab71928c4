/** Random kills, pauses, lost replies and outages against a simple oracle. */
import { install, type Clock } from '@sinonjs/fake-timers';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { setInvariantsFatal } from '@snipehaven/common';
import {
  createSettlement,
  createState,
  createUsage,
  FakeCluster,
  type FakeDaemon,
} from './testKit.js';

setInvariantsFatal(true);

/** This seed once found an answered entry replaced by an adopter's partial one. */
const SEED = 7;
const RUNS = 120;
const MAX_COMMANDS = 60;
const DAEMONS = 4;
const KEYS = 60;
const RUN_TIMEOUT_MS = 180_000;
/** Kills and pauses are this far apart, but for holders that go close after owners. */
const CALM_MS = 30_000;
/** A holder killed sooner after its owner than it is suspected is a stated limit. */
const MIN_DOUBLE_KILL_MS = 1_500;
const MAX_DOUBLE_KILL_MS = 12_000;
const HEAL_MS = 15 * 60_000;

/** What callers know: the tokens of every whole answer they were given, by request key. */
interface Oracle {
  readonly answers: Map<string, number[]>;
  /** Tokens of every run, whole or not, by request id. */
  readonly runs: Map<string, number>;
}

class World {
  disruptedAtMs = -CALM_MS;

  requests = 0;

  constructor(
    readonly clock: Clock,
    readonly cluster: FakeCluster,
  ) {}

  nextRequestId(): string {
    this.requests += 1;
    return `r${this.requests}`;
  }

  noteDisruption(): void {
    this.disruptedAtMs = Date.now();
  }

  setDown(isTableDown: boolean, isStoreDown: boolean, areEnginesSilent: boolean): void {
    this.cluster.table.isDown = isTableDown;
    this.cluster.objectStore.isDown = isStoreDown;
    this.cluster.engines.isSilent = areEnginesSilent;
  }

  loseReplies(count: number): void {
    this.cluster.table.lostReplies = count;
    this.cluster.objectStore.lostReplies = count;
  }
}

type Step = fc.AsyncCommand<Oracle, World>;

/** The engine's run is one token ahead of what the owner delivers, so an adopted entry can be told. */
const serve = async (
  oracle: Oracle,
  { cluster }: World,
  daemon: FakeDaemon,
  request: { readonly id: string; readonly key: string; readonly tokens: number },
): Promise<void> => {
  const { id, key, tokens } = request;
  try {
    await daemon.ledger.open(createUsage(id, key));
  } catch {
    return;
  }
  oracle.runs.set(id, tokens);
  cluster.engines.streams.set(id, createState('running', tokens + 1));
  await new Promise((resolve) => {
    setTimeout(resolve, tokens * 10);
  });
  await daemon.gate(() => Promise.resolve());
  await daemon.ledger.settle(id, createSettlement(id, tokens));
  await daemon.gate(() => Promise.resolve());
  oracle.answers.set(key, [...(oracle.answers.get(key) ?? []), tokens]);
};

const createStep = (
  name: string,
  run: (oracle: Oracle, world: World) => void | Promise<void>,
  check: (world: World) => boolean = () => true,
): Step & { readonly check: () => boolean } => {
  let isSkipped = false;
  return {
    check: () => true,
    run: async (oracle, world) => {
      isSkipped = !check(world);
      if (!isSkipped) {
        await run(oracle, world);
      }
    },
    toString: () => (isSkipped ? `skipped ${name}` : name),
  };
};

const pick = (world: World, index: number): FakeDaemon => {
  const live = world.cluster.listLive();
  return live[index % live.length] as FakeDaemon;
};

/** Noted when it begins and, for a pause, when it ends: adoption must be over before the next. */
const isCalm = (world: World): boolean =>
  Date.now() - world.disruptedAtMs > CALM_MS &&
  world.cluster.listLive().length > 2 &&
  world.cluster.daemons.every((daemon) => daemon.isKilled || !daemon.isPaused);

const number = fc.nat({ max: 100 });

const tokenCount = fc.integer({ min: 1, max: 1_000 });

/** Half of the disruptions meet the daemon with the most records. */
const pickDisrupted = (world: World, index: number): FakeDaemon => {
  const live = [...world.cluster.listLive()];
  live.sort((a, b) => b.ledger.getPendingCount() - a.ledger.getPendingCount());
  return index % 2 === 0 ? (live[0] as FakeDaemon) : pick(world, index);
};

const burst = fc
  .tuple(number, fc.array(fc.tuple(fc.nat({ max: KEYS }), tokenCount), { minLength: 1 }))
  .map(([index, requests]) =>
    createStep(`requests at ${index}: ${JSON.stringify(requests)}`, (oracle, world) => {
      const daemon = pick(world, index);
      requests.forEach(([key, tokens]) => {
        const request = { id: world.nextRequestId(), key: `k${key}`, tokens };
        void serve(oracle, world, daemon, request);
      });
    }),
  );

const createAdvance = (maxMs: number): fc.Arbitrary<Step> =>
  fc.integer({ min: 1, max: maxMs }).map((delayMs) =>
    createStep(`advance ${delayMs} ms`, async (_oracle, { clock }) => {
      await clock.tickAsync(delayMs);
    }),
  );

const killing = number.map((index) =>
  createStep(
    `kill ${index}`,
    (_oracle, world) => {
      const daemon = pickDisrupted(world, index);
      world.cluster.kill(daemon);
      world.cluster.add(daemon.member.vm);
      world.noteDisruption();
    },
    isCalm,
  ),
);

/** The daemon with the most records goes, and some time later the one that holds its copies. */
const createDoubleFault = (
  name: string,
  minGapMs: number,
  end: (world: World, holder: FakeDaemon) => void,
): fc.Arbitrary<Step> =>
  fc.integer({ min: minGapMs, max: MAX_DOUBLE_KILL_MS }).map((gapMs) =>
    createStep(
      `kill, ${gapMs} ms later ${name} the holder`,
      async (_oracle, world) => {
        const owner = pickDisrupted(world, 0);
        const holder = world.cluster.listHolders(owner)[0];
        world.cluster.kill(owner);
        await world.clock.tickAsync(gapMs);
        if (holder) {
          end(world, holder);
          world.cluster.add(holder.member.vm);
        }
        world.cluster.add(owner.member.vm);
        world.noteDisruption();
      },
      isCalm,
    ),
  );

const killingBoth = createDoubleFault('kill', MIN_DOUBLE_KILL_MS, ({ cluster }, holder) =>
  cluster.kill(holder),
);

const stoppingHolder = createDoubleFault('stop', 0, ({ cluster }, holder) => {
  void cluster.stop(holder);
});

const pausing = fc.tuple(number, fc.integer({ min: 10, max: 90_000 })).map(([index, pauseMs]) =>
  createStep(
    `pause ${index} for ${pauseMs} ms`,
    (_oracle, world) => {
      const daemon = pickDisrupted(world, index);
      world.cluster.pause(daemon);
      world.noteDisruption();
      setTimeout(() => {
        world.cluster.resume(daemon);
        world.noteDisruption();
      }, pauseMs);
    },
    isCalm,
  ),
);

const losing = fc.integer({ min: 1, max: 5 }).map((count) =>
  createStep(`lose ${count} replies`, (_oracle, world) => {
    world.loseReplies(count);
  }),
);

const outage = fc.tuple(fc.boolean(), fc.boolean(), fc.boolean()).map(([table, store, engines]) =>
  createStep(`down: table ${table} store ${store} engines ${engines}`, (_oracle, world) => {
    world.setDown(table, store, engines);
  }),
);

const steps = [
  burst,
  burst,
  burst,
  createAdvance(3_000),
  createAdvance(3_000),
  createAdvance(60_000),
  killing,
  killingBoth,
  stoppingHolder,
  pausing,
  losing,
  outage,
];

const heal = async (world: World): Promise<void> => {
  world.setDown(false, false, false);
  world.loseReplies(0);
  await world.clock.tickAsync(HEAL_MS);
};

/** Every whole answer is billed once with its tokens, and nothing is billed that did not run. */
const checkBills = async (oracle: Oracle, { cluster }: World): Promise<void> => {
  const entries = await cluster.readEntries();
  const byKey = new Map(entries.map((entry) => [entry.requestKey, entry]));
  assert.is(byKey.size, entries.length);
  oracle.answers.forEach((answers, key) => {
    const entry = byKey.get(key);
    assert.is(entry?.outcome, 'answered', `${key} was answered`);
    assert.ok(answers.includes(entry?.lines[0]?.completionTokens ?? -1), `tokens of ${key}`);
  });
  entries.forEach(({ requestId, outcome, isAdopted, lines }) => {
    const delivered = (oracle.runs.get(requestId) ?? NaN) + Number(isAdopted);
    const expected = outcome === 'unanswered' ? [] : [delivered];
    assert.equal(
      lines.map((line) => line.completionTokens),
      expected,
      requestId,
    );
  });
  cluster
    .listLive()
    .forEach((daemon) => assert.is(daemon.ledger.getPendingCount(), 0, daemon.member.vm));
};

const runOnce = async (commands: Iterable<Step>): Promise<void> => {
  const clock = install({ now: 1_000_000 });
  try {
    const settings = { maxPendingRecords: 40, spillThresholdRecords: 8, maxSpillEntries: 4 };
    const cluster = new FakeCluster(DAEMONS, { ...settings, maxBatchEntries: 5 });
    const world = new World(clock, cluster);
    const oracle = { answers: new Map(), runs: new Map() };
    await fc.asyncModelRun(() => ({ model: oracle, real: world }), commands);
    await heal(world);
    await checkBills(oracle, world);
  } finally {
    clock.uninstall();
  }
};

test('under random faults each whole answer is billed once, with its true tokens', async () => {
  await fc.assert(
    fc.asyncProperty(fc.commands(steps, { maxCommands: MAX_COMMANDS, size: 'max' }), runOnce),
    {
      seed: SEED,
      numRuns: RUNS,
      endOnFailure: true,
      interruptAfterTimeLimit: RUN_TIMEOUT_MS,
      markInterruptAsFailure: true,
    },
  );
});

test.run();

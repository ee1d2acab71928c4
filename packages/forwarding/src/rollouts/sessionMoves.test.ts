/** Property test over interleavings of events: no session moves too early, or back. */
import FakeTimers from '@sinonjs/fake-timers';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { RolloutOrder } from '../types.js';
import {
  createEntry,
  SimulatedDaemon,
  readStoreMs,
  SESSION_TTL_MS,
} from './testSupport/simulatedDaemon.js';
import type { RolloutStatus } from './types.js';

const ORDER: RolloutOrder = { service: 's', toVersion: 'v2', durationMs: 16_000 };
const ORDER_REVISION = { era: 1, version: 7 };
const STATUS_REVISION = { era: 1, version: 9 };
const DAEMONS = 3;
const SESSIONS = 40;
const RUNS = 700;
const STEPS_A_RUN = 150;

/** Minimum time between requests; longer than replies of the store take. */
const MIN_GAP_MS = 25;
const MAX_STORE_DELAY_MS = 8;

/** Within this time all daemons in contact with the store know an order and its status row. */
const PROPAGATION_MS = 2_000;

/** A daemon that has not heard from the store for this long has lost contact, and moves nothing. */
const MAX_STORE_AGE_MS = 3_000;

const V1 = createEntry('v1');
const V2 = createEntry('v2');

type Step =
  | { readonly kind: 'request'; readonly daemon: number; readonly session: number }
  | { readonly kind: 'restart'; readonly daemon: number; readonly delayMs: number }
  | { readonly kind: 'flap'; readonly daemon: number }
  | { readonly kind: 'jump'; readonly byMs: number }
  | { readonly kind: 'hear'; readonly daemon: number; readonly delayMs: number };

const daemonArbitrary = fc.nat({ max: DAEMONS - 1 });
const delayArbitrary = fc.integer({ min: 1, max: MAX_STORE_DELAY_MS });

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 20,
    arbitrary: fc.record({
      kind: fc.constant('request' as const),
      daemon: daemonArbitrary,
      session: fc.nat({ max: SESSIONS - 1 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('restart' as const),
      daemon: daemonArbitrary,
      delayMs: delayArbitrary,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('flap' as const), daemon: daemonArbitrary }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('jump' as const),
      byMs: fc.integer({ min: -4_000, max: 4_000 }),
    }),
  },
  {
    weight: 12,
    arbitrary: fc.record({
      kind: fc.constant('hear' as const),
      daemon: daemonArbitrary,
      delayMs: delayArbitrary,
    }),
  },
);

const planArbitrary = fc.record({
  /** When each daemon learns of the order, and the slack of its upper bound of the order's age. */
  learning: fc.array(
    fc.record({ afterMs: fc.nat({ max: PROPAGATION_MS }), moreMs: fc.nat({ max: 6_000 }) }),
    { minLength: DAEMONS, maxLength: DAEMONS },
  ),
  orderAfterMs: fc.nat({ max: 3_000 }),
  steps: fc.array(
    fc.record({ gapMs: fc.integer({ min: MIN_GAP_MS, max: 300 }), step: stepArbitrary }),
    {
      minLength: STEPS_A_RUN,
      maxLength: STEPS_A_RUN,
    },
  ),
});

type Plan = typeof planArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

interface ObservedRun {
  readonly version: string;
  readonly atMs: number;
}

/** Executes one plan and checks each request. */
class PlanRunner {
  readonly #plan: Plan;

  readonly #clock: FakeTimers.Clock;

  readonly #daemons = Array.from(
    { length: DAEMONS },
    (_, index) => new SimulatedDaemon(`vm-${index}`),
  );

  readonly #listsNew = Array.from({ length: DAEMONS }, () => true);

  readonly #last = new Map<number, ObservedRun>();

  readonly #orderedAtMs: number;

  readonly #learned = new Set<number>();

  #status: RolloutStatus | undefined;

  constructor(plan: Plan, clock: FakeTimers.Clock) {
    this.#plan = plan;
    this.#clock = clock;
    this.#orderedAtMs = performance.now() + plan.orderAfterMs;
  }

  run(): void {
    for (const { gapMs, step } of this.#plan.steps) {
      this.#advance(gapMs);
      this.#applyStep(step);
    }
  }

  get #elapsedMs(): number {
    return performance.now() - this.#orderedAtMs;
  }

  #advance(gapMs: number): void {
    this.#clock.tick(gapMs);
    this.#plan.learning.forEach(({ afterMs, moreMs }, index) => {
      if (this.#elapsedMs >= afterMs && !this.#learned.has(index)) {
        this.#learned.add(index);
        this.#daemons[index]?.learnOrder(ORDER, ORDER_REVISION, this.#elapsedMs + moreMs);
      }
    });
    if (this.#elapsedMs >= PROPAGATION_MS && this.#status === undefined) {
      this.#writeStatus();
      this.#daemons.forEach((daemon) => daemon.learnStatus(this.#status, STATUS_REVISION));
    }
  }

  #writeStatus(): void {
    const [writer] = this.#daemons;
    writer?.confirmStore(MAX_STORE_DELAY_MS);
    const [rollout] = writer?.tracker.rollouts ?? [];
    const start = rollout?.storedStart;
    assert.ok(start !== undefined);
    assert.ok(start.beforeStoreMs >= readStoreMs() - this.#elapsedMs);
    this.#status = {
      service: 's',
      toVersion: 'v2',
      state: 'running',
      orderRevision: ORDER_REVISION,
      ...start,
    };
  }

  #applyStep(step: Step): void {
    const handlers = {
      request: (one: Step & { kind: 'request' }) => this.#request(one.daemon, one.session),
      restart: (one: Step & { kind: 'restart' }) => this.#restart(one.daemon, one.delayMs),
      flap: (one: Step & { kind: 'flap' }) => {
        this.#listsNew[one.daemon] = !this.#listsNew[one.daemon];
      },
      jump: (one: Step & { kind: 'jump' }) => this.#clock.setSystemTime(Date.now() + one.byMs),
      hear: (one: Step & { kind: 'hear' }) => this.#daemons[one.daemon]?.confirmStore(one.delayMs),
    };
    handlers[step.kind](step as never);
  }

  /**
   * The restarted daemon serves again once it has read the order and the status of its roll-out.
   */
  #restart(index: number, delayMs: number): void {
    const daemon = this.#daemons[index];
    daemon?.restart();
    daemon?.confirmStore(delayMs);
    if (this.#elapsedMs >= 0) {
      this.#learned.add(index);
      daemon?.learnOrder(ORDER, ORDER_REVISION, undefined);
    }
    daemon?.learnStatus(this.#status, STATUS_REVISION);
  }

  #isStoreFresh(index: number): boolean {
    const observed = this.#daemons[index]?.tracker.findObservedRollout('s');
    return (observed?.storeAgeMs ?? 0) < MAX_STORE_AGE_MS;
  }

  #request(index: number, session: number): void {
    const listed = this.#listsNew[index] ? [V1, V2] : [V1];
    const version = this.#daemons[index]?.run(`session ${session}`, listed);
    const before = this.#last.get(session);
    const nowMs = performance.now();
    if (version === undefined) {
      return;
    }
    this.#last.set(session, { version, atMs: nowMs });
    if (
      before === undefined ||
      before.version === version ||
      nowMs - before.atMs > SESSION_TTL_MS
    ) {
      return;
    }
    const isEarly = version === 'v2' && this.#elapsedMs < ORDER.durationMs / 2;
    // A daemon that lists no upstream of the new version has nowhere else to send the session.
    const isBack = version === 'v1' && this.#listsNew[index] === true && this.#isStoreFresh(index);
    const when = `${Math.round(this.#elapsedMs)} ms after the order`;
    assert.not(isEarly, `session ${session} moved early, ${when}`);
    assert.not(isBack, `session ${session} moved back at daemon ${index}, ${when}`);
  }
}

test('no interleaving of events moves a session early or back', () => {
  fc.assert(
    fc.property(planArbitrary, (plan) => {
      const clock = FakeTimers.install({ now: 1_700_000_000_000 });
      try {
        new PlanRunner(plan, clock).run();
      } finally {
        clock.uninstall();
      }
    }),
    { numRuns: RUNS, seed: 31 },
  );
});

test('a daemon that learned of the order sooner than the writer of its status takes no step before the others', () => {
  const clock = FakeTimers.install({ now: 1_700_000_000_000 });
  try {
    const [early, writer] = [new SimulatedDaemon('early'), new SimulatedDaemon('writer')];
    early.learnOrder(ORDER, ORDER_REVISION, 0);
    clock.tick(PROPAGATION_MS);
    [early, writer].forEach((daemon) => daemon.confirmStore(1));
    writer.learnOrder(ORDER, ORDER_REVISION, PROPAGATION_MS);
    const [rollout] = writer.tracker.rollouts;
    const status = {
      service: 's',
      toVersion: 'v2',
      state: 'running' as const,
      orderRevision: ORDER_REVISION,
      ...rollout?.storedStart,
    };
    [early, writer].forEach((daemon) =>
      daemon.learnStatus(status as RolloutStatus, STATUS_REVISION),
    );
    for (let passedMs = PROPAGATION_MS; passedMs < ORDER.durationMs; passedMs += 100) {
      clock.tick(100);
      [early, writer].forEach((daemon) => daemon.confirmStore(1));
      const shares = [early, writer].map(
        ({ tracker }) => tracker.findObservedRollout('s')?.sessionShare,
      );
      assert.is(shares[0], shares[1], `${passedMs} ms after the order`);
    }
  } finally {
    clock.uninstall();
  }
});

test.run();

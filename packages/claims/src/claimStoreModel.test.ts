/** Model-based test: random commands checked against an oracle of the requests that were executed. */
import { install } from '@sinonjs/fake-timers';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { answer, ClaimFixture } from './claimFixture.js';
import { ClaimsUnavailableError } from './errors.js';
import type { TableFault } from './fakeTable.js';
import type { TableClaimStore } from './tableClaimStore.js';
import type { Claim, ClaimOutcome, ClaimRequest } from './types.js';

const SEED = 20_261_202;
const RUNS = 300;
const KEYS = ['k1', 'k2'];
const BODIES = ['b1', 'b2'];
const DAEMON_COUNT = 3;
const HEAL_MS = 60_000;

type KeyState = 'free' | 'held' | 'finished' | 'unknown';

/** A claim whose request its daemon is executing. */
interface HeldClaim {
  readonly claim: Claim;
  readonly key: string;
  readonly daemon: Daemon;
}

interface Daemon {
  readonly name: string;
  readonly store: TableClaimStore;
  isDead: boolean;
}

/** Tracks which requests were executed, independently of the table. */
class Oracle {
  readonly fixture = new ClaimFixture(install({ now: 1_000_000_000_000 }));

  readonly states = new Map<string, KeyState>(KEYS.map((key) => [key, 'free']));

  readonly bodies = new Map<string, string>();

  /** Errors found while requests run in the background. */
  readonly violations: unknown[] = [];

  held: HeldClaim[] = [];

  daemons: Daemon[] = [];

  /** After a daemon was killed, even a key that never ran may correctly be `outcomeUnknown`. */
  hasDeaths = false;

  #bootCount = 0;

  constructor() {
    this.daemons = Array.from({ length: DAEMON_COUNT }, () => this.boot());
  }

  boot(): Daemon {
    this.#bootCount += 1;
    const name = `d${this.#bootCount}`;
    return { name, store: this.fixture.createStore(name), isDead: false };
  }

  async request(daemon: Daemon, request: ClaimRequest): Promise<void> {
    try {
      const outcome = await daemon.store.claim(request);
      if (!daemon.isDead) {
        this.check(daemon, request, outcome);
      }
    } catch (error) {
      if (!(error instanceof ClaimsUnavailableError)) {
        this.violations.push(error);
      }
    }
  }

  check(daemon: Daemon, request: ClaimRequest, outcome: ClaimOutcome): void {
    const { key, bodyHash } = request;
    const state = this.states.get(key);
    if (outcome.kind === 'claimed') {
      assert.is(state, 'free', `${key} is executed a second time`);
      const row = this.fixture.table.rows.get(outcome.claim.rowKey)?.value as Claim;
      assert.is(row.token, outcome.claim.token, 'executed before the claim is committed');
      this.held.push({ claim: outcome.claim, key, daemon });
      this.states.set(key, 'held');
      this.bodies.set(key, bodyHash);
    }
    if (outcome.kind === 'finished') {
      assert.is(state, 'finished');
      assert.equal(outcome.answer, { ...answer, body: key });
      assert.is(bodyHash, this.bodies.get(key), 'answer of a request with another body');
    }
    if (outcome.kind === 'outcomeUnknown') {
      assert.ok(state === 'unknown' || this.hasDeaths, `${key} is not unknown but ${state}`);
    }
  }

  takeHeld(index: number): HeldClaim | undefined {
    const [taken] = this.held.splice(index % Math.max(1, this.held.length), 1);
    return taken;
  }

  kill(index: number): void {
    const daemon = this.daemons[index] as Daemon;
    daemon.isDead = true;
    daemon.store.stop();
    this.fixture.dead.add(daemon.name);
    this.hasDeaths = true;
    this.held
      .filter((held) => held.daemon === daemon)
      .forEach(({ key }) => this.states.set(key, 'unknown'));
    this.held = this.held.filter((held) => held.daemon !== daemon);
    this.daemons[index] = this.boot();
  }

  /** Checks that after all faults end each key gets an outcome and no live daemon blocks a free key. */
  async checkHealed(): Promise<void> {
    const { table, clock } = this.fixture;
    table.setOutage(undefined);
    table.faults.length = 0;
    table.setLatency(2);
    await clock.tickAsync(HEAL_MS);
    for (const key of KEYS) {
      const bodyHash = this.bodies.get(key) ?? 'b1';
      const outcome = await this.fixture.claim(this.daemons[0]!.store, { key, bodyHash });
      this.check(this.daemons[0]!, this.fixture.request({ key, bodyHash }), outcome);
      const expected = { free: 'claimed', held: 'claimed', finished: 'finished' } as const;
      const state = this.states.get(key) as KeyState;
      if (!this.hasDeaths && state in expected && outcome.kind !== 'inProgress') {
        assert.is(outcome.kind, expected[state as keyof typeof expected]);
      }
      assert.ok(outcome.kind !== 'inProgress' || this.held.some((held) => held.key === key));
    }
  }
}

type Run = (oracle: Oracle) => void | Promise<void>;

/** Creates a command that is always enabled and is printed as `text` in counterexamples. */
const command = (text: string, run: Run): fc.AsyncCommand<object, Oracle> => ({
  check: () => true,
  run: async (_model, oracle) => run(oracle),
  toString: () => text,
});

const daemonIndex = fc.nat(DAEMON_COUNT - 1);
const fault = fc.constantFrom<TableFault>(
  'refused',
  'rateLimited',
  'replyLost',
  'requestLost',
  'appliedLate',
);

const outcomes: Record<string, (held: HeldClaim) => readonly [KeyState, Promise<void>]> = {
  finish: ({ daemon, claim, key }) => [
    'finished',
    daemon.store.finish(claim, { ...answer, body: key }),
  ],
  release: ({ daemon, claim }) => ['free', daemon.store.release(claim)],
  markUnknown: ({ daemon, claim }) => ['unknown', daemon.store.markUnknown(claim)],
};

const commands = [
  fc
    .tuple(daemonIndex, fc.constantFrom(...KEYS), fc.constantFrom(...BODIES))
    .map(([at, key, bodyHash]) =>
      command(`claim(${at},${key},${bodyHash})`, (oracle) => {
        const request = oracle.fixture.request({ key, bodyHash });
        void oracle.request(oracle.daemons[at] as Daemon, request);
      }),
    ),
  fc.tuple(fc.nat(3), fc.constantFrom('finish', 'release', 'markUnknown')).map(([index, name]) =>
    command(`${name}(${index})`, (oracle) => {
      const held = oracle.takeHeld(index);
      if (held) {
        const [state, written] = outcomes[name]!(held);
        oracle.states.set(held.key, state);
        written.catch((error: unknown) => oracle.violations.push(error));
      }
    }),
  ),
  fc.constantFrom(1, 10, 300, 1_700, 8_000).map((timeMs) =>
    command(`tick(${timeMs})`, async ({ fixture }) => {
      await fixture.clock.tickAsync(timeMs);
    }),
  ),
  fault.map((kind) =>
    command(`fault(${kind})`, ({ fixture }) => {
      fixture.table.faults.push(kind);
    }),
  ),
  fc.option(fault, { nil: undefined }).map((kind) =>
    command(`outage(${kind})`, ({ fixture }) => {
      fixture.table.setOutage(kind);
    }),
  ),
  fc.constantFrom(2, 2_500).map((latencyMs) =>
    command(`latency(${latencyMs})`, ({ fixture }) => {
      fixture.table.setLatency(latencyMs);
    }),
  ),
  daemonIndex.map((at) => command(`kill(${at})`, (oracle) => oracle.kill(at))),
];

test('a key is executed at most once unless released, under random faults', async () => {
  await fc.assert(
    fc.asyncProperty(fc.commands(commands, { maxCommands: 40 }), async (sequence) => {
      const oracle = new Oracle();
      try {
        await fc.asyncModelRun(() => ({ model: {}, real: oracle }), sequence);
        await oracle.checkHealed();
      } finally {
        oracle.fixture.close();
      }
      assert.equal(oracle.violations, []);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test.run();

/** Which daemons are asked to relay a connection, and when, in fleets of up to 64. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { PassThrough } from 'node:stream';
import { createRandom } from '@snipehaven/common';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { PeerDirectory, type Peer } from '../peers/index.js';
import type { AskRelay } from './askRelay.js';
import { RelayClient } from './relayClient.js';
import { RelayRanking } from './relayRanking.js';
import type { RelayOutcome, RelayResult } from './types.js';

const DATA_CENTRES = ['a', 'b', 'c'];
const TARGET = { lifeId: 'u-1', service: 'plain', dataCentre: 'c' };

/** Of a daemon that knows its paths. */
const ANSWER_MS = 3;

/** Of a daemon that is finding out that it has lost its path. */
const LATE_ANSWER_MS = 210;

/** A connection must be open well within the time that callers wait for a plain answer. */
const MAX_OPEN_MS = 400;

interface Context {
  clock: Clock;
}

const test = suite<Context>('relay client', {} as Context);

test.before.each((context) => {
  context.clock = FakeTimers.install();
});

test.after.each(({ clock }) => clock.uninstall());

const createPeer = (index: number): Peer => ({
  vm: `vm-${index}`,
  dataCentre: DATA_CENTRES[index % DATA_CENTRES.length] ?? '',
  host: `10.0.0.${index}`,
  port: 7_340,
});

interface Fleet {
  readonly client: RelayClient;
  readonly asked: string[];
}

/** `answer`: what a daemon answers, and after which time in ms; none at all if undefined. */
const createFleet = (
  daemons: number,
  answer: (peer: Peer) => readonly [RelayOutcome, number] | undefined,
  seed = 1,
): Fleet => {
  const directory = new PeerDirectory(createPeer(0), createRandom(seed));
  for (let index = 1; index < daemons; index += 1) {
    directory.put(createPeer(index));
  }
  const asked: string[] = [];
  const ask: AskRelay = ({ peer }, callback) => {
    asked.push(peer.vm);
    const [outcome, afterMs] = answer(peer) ?? ['unavailable', 500];
    const timer = setTimeout(() => {
      const stream = outcome === 'connected' ? { stream: new PassThrough() } : {};
      callback({ outcome, ...stream });
    }, afterMs);
    return () => clearTimeout(timer);
  };
  const ranking = new RelayRanking(directory, createRandom(seed));
  return { client: new RelayClient({ directory, ranking, ask, onOutcome: () => {} }), asked };
};

const openAfterMs = async ({ client }: Fleet, clock: Clock): Promise<[RelayResult, number]> => {
  const startedAtMs = performance.now();
  const result = new Promise<RelayResult>((resolve) => {
    client.open(TARGET, resolve);
  });
  let tookMs = Infinity;
  void result.then(() => {
    tookMs = performance.now() - startedAtMs;
  });
  await clock.tickAsync(1_000);
  return [await result, tookMs];
};

test('one daemon is asked where all have a path', async ({ clock }) => {
  const fleet = createFleet(64, () => ['connected', ANSWER_MS]);
  const [{ outcome }, tookMs] = await openAfterMs(fleet, clock);
  assert.is(outcome, 'connected');
  assert.is(tookMs, ANSWER_MS);
  assert.is(fleet.asked.length, 1);
});

// Guards against asking one data centre alone, all of whose daemons may have lost the same paths.
test('a data centre without paths costs one question before another one is asked', async ({
  clock,
}) => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const fleet = createFleet(
      64,
      ({ dataCentre }) =>
        dataCentre === 'a' ? ['unavailable', LATE_ANSWER_MS] : ['connected', ANSWER_MS],
      seed,
    );
    const [{ outcome }, tookMs] = await openAfterMs(fleet, clock);
    assert.is(outcome, 'connected');
    assert.ok(tookMs <= 100, `${tookMs} ms`);
  }
});

// Guards against waiting for each of many daemons that have lost their paths too.
test('half of the daemons without paths delay a connection by little, known or not', async ({
  clock,
}) => {
  for (const daemons of [9, 64]) {
    for (const afterMs of [ANSWER_MS, LATE_ANSWER_MS]) {
      for (let seed = 1; seed <= 20; seed += 1) {
        const fleet = createFleet(
          daemons,
          ({ vm }) =>
            Number(vm.slice(3)) % 2 === 1 ? ['unavailable', afterMs] : ['connected', ANSWER_MS],
          seed,
        );
        const [{ outcome }, tookMs] = await openAfterMs(fleet, clock);
        assert.is(outcome, 'connected', `${daemons} daemons, seed ${seed}`);
        assert.ok(tookMs <= MAX_OPEN_MS, `${tookMs} ms, ${daemons} daemons, seed ${seed}`);
      }
    }
  }
});

test('the only daemon with a path is found, and asked first afterwards', async ({ clock }) => {
  const fleet = createFleet(9, ({ vm }) =>
    vm === 'vm-5' ? ['connected', ANSWER_MS] : ['unavailable', ANSWER_MS],
  );
  const [{ outcome }] = await openAfterMs(fleet, clock);
  assert.is(outcome, 'connected');
  fleet.asked.splice(0);
  const again = await new Promise<RelayResult>((resolve) => {
    fleet.client.open(TARGET, resolve);
    clock.tick(ANSWER_MS * 9);
  });
  assert.is(again.outcome, 'connected');
});

test('an upstream that a sound daemon does not reach is not asked about again', async ({
  clock,
}) => {
  const fleet = createFleet(9, () => ['refused', ANSWER_MS]);
  assert.is((await openAfterMs(fleet, clock))[0].outcome, 'refused');
  assert.is(fleet.asked.length, 1);
});

// Guards against waiting for daemons that are out of reach with each connection anew.
test('daemons that could not relay a moment ago are not all asked again', async ({ clock }) => {
  const fleet = createFleet(9, () => ['unavailable', ANSWER_MS]);
  assert.is((await openAfterMs(fleet, clock))[0].outcome, 'unavailable');
  assert.is(fleet.asked.length, 8);
  fleet.asked.splice(0);
  const [{ outcome }] = await openAfterMs(fleet, clock);
  assert.is(outcome, 'unavailable');
  assert.is(fleet.asked.length, 1);
});

test('without other daemons the result is known at once', async ({ clock }) => {
  const fleet = createFleet(1, () => undefined);
  assert.is((await openAfterMs(fleet, clock))[0].outcome, 'unavailable');
});

test.run();

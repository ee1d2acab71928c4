/** Requests that fleets of several sizes send to an upstream that names a rate limit. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { createRandom, createSilentLogger, pickRandom, type Random } from '@snipehaven/common';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { parseDatagram } from '../peers/datagram.js';
import { PeerLoads, type Peer } from '../peers/index.js';
import { decodeRateLimits, encodeRateLimits } from '../peers/rateLimitMessage.js';
import { countBefore } from '../peers/rendezvousOrder.js';
import { DatagramNetwork } from '../peers/testSupport/datagramNetwork.js';
import type { StatedRateLimit, Upstream } from '../types.js';
import { RateLimitTracker } from './rateLimitTracker.js';
import { UpstreamDirectory } from './upstreamDirectory.js';
import { UpstreamGate } from './upstreamGate.js';

interface Context {
  clock: Clock;
}

const test = suite<Context>('rate limits in a fleet', {} as Context);

test.before.each((context) => {
  context.clock = FakeTimers.install({ now: 1_700_000_000_000 });
});

test.after.each(({ clock }) => clock.uninstall());

const UPSTREAM: Upstream = {
  id: 'u-1',
  service: 's',
  host: '127.0.0.1',
  port: 1,
  dataCentre: 'dc-0',
  softwareVersion: 'v1',
  slots: 4,
  state: 'ready',
};

const DATA_CENTRES = 3;
const STEP_MS = 20;
const ANSWER_MS = 60;
const REQUESTS_PER_S = 4;

/** From the first statement until all must heed it. */
const NOTICE_MS = 3_000;
const WINDOW_MS = 4_000;

interface Daemon {
  readonly directory: UpstreamDirectory;
  readonly tracker: RateLimitTracker;
  readonly gate: UpstreamGate;
}

class Fleet {
  readonly #clock: Clock;

  readonly #random: Random = createRandom(7);

  readonly network: DatagramNetwork;

  readonly #peers: readonly Peer[];

  readonly daemons: readonly Daemon[];

  stated: StatedRateLimit = { kind: 'none' };

  /** Times at which requests reached the upstream, and by which daemon. */
  readonly arrivals: { readonly atMs: number; readonly daemon: number }[] = [];

  constructor(clock: Clock, daemons: number, lossShare = 0) {
    this.#clock = clock;
    this.network = new DatagramNetwork({ random: this.#random, delayMs: 2, lossShare });
    this.#peers = Array.from({ length: daemons }, (_, index) => ({
      vm: `vm-${index}`,
      dataCentre: `dc-${index % DATA_CENTRES}`,
      host: `10.0.0.${index}`,
      port: 7_000,
    }));
    this.daemons = this.#peers.map((self) => this.#createDaemon(self));
  }

  run(durationMs: number): void {
    const endAtMs = performance.now() + durationMs;
    while (performance.now() < endAtMs) {
      this.daemons.forEach((daemon, index) => {
        if (this.#random.next() < (REQUESTS_PER_S * STEP_MS) / 1_000) {
          this.#request(daemon, index);
        }
      });
      this.#clock.tick(STEP_MS);
    }
  }

  /** The most arrivals of any window from this moment on. */
  countMost(fromMs: number): number {
    const counted = this.arrivals.filter(({ atMs }) => atMs >= fromMs);
    const counts = counted.map(
      ({ atMs: from }) =>
        counted.filter(({ atMs }) => atMs >= from && atMs < from + WINDOW_MS).length,
    );
    return Math.max(0, ...counts);
  }

  countLimited(): number {
    return this.daemons.filter(({ directory }) => directory.find('u-1')?.rateLimit.requestsPerS)
      .length;
  }

  #request({ directory, tracker, gate }: Daemon, index: number): void {
    const entry = directory.find('u-1');
    const sentAtMs = performance.now();
    if (entry !== undefined && gate.admits(entry, { warmUp: undefined, nowMs: sentAtMs })) {
      entry.startRequest(1);
      this.arrivals.push({ atMs: sentAtMs, daemon: index });
      setTimeout(() => {
        entry.finishRequest(1);
        tracker.recordAnswer(entry, this.stated, sentAtMs);
      }, ANSWER_MS);
    }
  }

  #createDaemon(self: Peer): Daemon {
    const directory = new UpstreamDirectory(createSilentLogger(), new PeerLoads());
    directory.put(UPSTREAM);
    const port = this.network.createPort(self);
    const others = this.#peers.filter(({ vm }) => vm !== self.vm);
    const tracker = new RateLimitTracker({
      logger: createSilentLogger(),
      directory,
      broadcast: (news) => others.forEach((peer) => port.send(encodeRateLimits(news), peer)),
      ask: (news) =>
        [pickRandom(others, this.#random)].forEach(
          (peer) => peer && port.send(encodeRateLimits(news), peer),
        ),
    });
    void port.open((bytes) => tracker.receive(decodeRateLimits(parseDatagram(bytes)) ?? []));
    const names = others.map(({ vm }) => vm);
    const rank = countBefore(UPSTREAM.id, self.vm, names);
    const membership = { daemons: this.#peers.length, hasDiscoveredPeers: true };
    return {
      directory,
      tracker,
      gate: new UpstreamGate({ ...membership, countBefore: () => rank }, { getWaitMs: () => 0 }),
    };
  }
}

const getAllowed = (requestsPerS: number): number => requestsPerS * (WINDOW_MS / 1_000) * 1.5 + 5;

const LIMITS_PER_S: readonly number[] = [0, 0.05, 0.3, 1, 2.7, 30];

// Guards against daemons that each keep to the whole limit, or to a share of less than one request that
// all of them use at once.
for (const daemons of [9, 74, 400]) {
  for (const requestsPerS of LIMITS_PER_S) {
    test(`${daemons} daemons together keep to ${requestsPerS} requests a second and use them`, ({
      clock,
    }) => {
      const fleet = new Fleet(clock, daemons);
      fleet.stated = { kind: 'limited', requestsPerS };
      fleet.run(NOTICE_MS);
      const fromMs = performance.now();
      fleet.run(12_000);
      const most = fleet.countMost(fromMs);
      assert.ok(most <= getAllowed(requestsPerS), `${most} in 4 s`);
      const used = fleet.arrivals.filter(({ atMs }) => atMs >= fromMs).length;
      const wanted = Math.min(requestsPerS, daemons * REQUESTS_PER_S) * 12;
      assert.ok(used >= Math.floor(wanted * 0.6), `${used} of ${wanted}`);
    });
  }
}

// Guards against an upstream that is lost to all daemons, because those without a share hear nothing of
// it any more.
for (const requestsPerS of [0, 1]) {
  test(`a limit of ${requestsPerS} that has ended is forgotten by all daemons, also when datagrams are lost`, ({
    clock,
  }) => {
    const fleet = new Fleet(clock, 74, 0.2);
    fleet.stated = { kind: 'limited', requestsPerS };
    fleet.run(6_000);
    assert.is(fleet.countLimited(), requestsPerS === 0 ? 0 : 74);
    fleet.stated = { kind: 'none' };
    fleet.run(20_000);
    assert.is(fleet.countLimited(), 0);
  });
}

// Guards against a data centre that goes on as before, as the news of the limit does not reach it.
test('daemons keep to a limit while a data centre is cut off, and forget it by themselves', ({
  clock,
}) => {
  const fleet = new Fleet(clock, 9);
  fleet.network.setCut('dc-1', true);
  fleet.stated = { kind: 'limited', requestsPerS: 1 };
  fleet.run(NOTICE_MS);
  const fromMs = performance.now();
  fleet.run(30_000);
  assert.ok(fleet.countMost(fromMs) <= getAllowed(1), `${fleet.countMost(fromMs)} in 4 s`);
  fleet.stated = { kind: 'none' };
  fleet.run(30_000);
  assert.is(fleet.countLimited(), 0);
});

// Guards against a limit that is set or lifted by an answer that was overtaken.
test('a late answer to an early request does not lift a limit, nor does late news of another daemon', ({
  clock,
}) => {
  const fleet = new Fleet(clock, 2);
  const [first, second] = fleet.daemons;
  const entry = first?.directory.find('u-1');
  assert.ok(first !== undefined && second !== undefined && entry !== undefined);
  clock.tick(1_000);
  const sentAtMs = performance.now();
  clock.tick(100);
  first.tracker.recordAnswer(entry, { kind: 'limited', requestsPerS: 2 }, sentAtMs);
  clock.tick(100);
  assert.is(second.directory.find('u-1')?.rateLimit.requestsPerS, 2);
  first.tracker.recordAnswer(entry, { kind: 'none' }, sentAtMs + 50);
  first.tracker.recordAnswer(entry, { kind: 'limited', requestsPerS: 5 }, sentAtMs + 50);
  assert.is(entry.rateLimit.requestsPerS, 2);
  const news = { lifeId: 'u-1', requestsPerS: null, sentAgoMs: 500, heardAgoMs: 400 };
  first.tracker.receive([news]);
  assert.is(entry.rateLimit.requestsPerS, 2);
  first.tracker.recordAnswer(entry, { kind: 'none' }, performance.now());
  assert.is(entry.rateLimit.requestsPerS, undefined);
  first.tracker.receive([{ ...news, requestsPerS: 2 }]);
  assert.is(entry.rateLimit.requestsPerS, undefined);
});

test.run();

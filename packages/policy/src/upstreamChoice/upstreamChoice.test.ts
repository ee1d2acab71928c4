/** Upstream choice, health tracking and adaptive concurrency. */
import { asId, createRandom } from '@snipehaven/common';
import type { DataCentreId, UpstreamId } from '@snipehaven/common';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  adjustConcurrency,
  assignOwnSlots,
  chooseUpstream,
  createConcurrency,
  createHealth,
  recordOutcome,
} from './index.js';
import type { UpstreamChoiceInput, UpstreamView } from './types.js';

const LOCAL = asId<DataCentreId>('local');
const NOW_MS = 100_000;

const createView = (id: string, more: Partial<UpstreamView> = {}): UpstreamView => ({
  id: asId<UpstreamId>(id),
  dataCentre: LOCAL,
  inFlight: 0,
  sentSinceReport: 0,
  reportedRunning: 0,
  reportedQueued: 0,
  reportAtMs: NOW_MS - 500,
  maxConcurrency: 16,
  firstTokenMs: 100,
  ejectedUntilMs: 0,
  slowStartSinceMs: 0,
  isLeaving: false,
  hasPrefixCached: false,
  ...more,
});

const choose = (upstreams: readonly UpstreamView[], more: Partial<UpstreamChoiceInput> = {}) =>
  chooseUpstream({
    upstreams,
    localDataCentre: LOCAL,
    nowMs: NOW_MS,
    random: createRandom(5),
    ...more,
  });

test('never sends to an upstream that is leaving, ejected, full or already tried', () => {
  const closed = [
    createView('leaving', { isLeaving: true }),
    createView('ejected', { ejectedUntilMs: NOW_MS + 1 }),
    createView('full', { inFlight: 16 }),
    createView('tried'),
  ];
  const excludedIds = [asId<UpstreamId>('tried')];
  assert.is(choose(closed, { excludedIds }), undefined);
  assert.is(choose([...closed, createView('open')], { excludedIds })?.upstream, 'open');
});

test('stays in the data centre while an upstream there is usable', () => {
  const remote = createView('remote', { dataCentre: asId<DataCentreId>('other') });
  const busy = createView('busy', { reportedRunning: 15, reportedQueued: 9 });
  assert.is(choose([remote, busy])?.upstream, 'busy');
  assert.is(choose([remote])?.reason, 'otherDataCentre');
});

test('sends one probe at a time, and only requests that may be retried', () => {
  const returning = createView('back', { ejectedUntilMs: NOW_MS - 1 });
  assert.is(choose([returning, createView('other')])?.reason, 'probe');
  assert.is(choose([returning, createView('other')], { canProbe: false })?.upstream, 'other');
  const probed = { ...returning, inFlight: 1 };
  assert.is(choose([probed, createView('other')])?.upstream, 'other');
});

test('a prefix keeps its owner within the load bound, and few prefixes move when an upstream leaves', () => {
  const views = Array.from({ length: 12 }, (_, index) => createView(`u${index}`));
  const ownerOf = (prefixKey: string, upstreams: readonly UpstreamView[]) =>
    choose(upstreams, { prefixKey, affinityRule: 'boundedOwner' })?.upstream;
  const keys = Array.from({ length: 200 }, (_, index) => `prefix-${index}`);
  const moved = keys.filter((key) => {
    const before = ownerOf(key, views);
    return (
      before !== 'u3' &&
      before !==
        ownerOf(
          key,
          views.filter(({ id }) => id !== 'u3'),
        )
    );
  });
  assert.is(moved.length, 0);
  const busy = views.map((view) => ({ ...view, reportedRunning: 14 }));
  assert.is.not(choose(busy, { prefixKey: 'prefix-1' })?.reason, 'affinity');
});

// Guards against a queue at the engine that was least loaded in the last report. It builds up when
// all daemons read the same report and send to this engine until the next one, because none knows
// the others' requests.
test('many daemons with the same outdated report spread over the engines', () => {
  const random = createRandom(11);
  const views = Array.from({ length: 10 }, (_, index) =>
    createView(`u${index}`, { reportedRunning: index === 0 ? 5 : 8 }),
  );
  const sends = new Map<string, number>();
  for (let send = 0; send < 1_000; send += 1) {
    const id = choose(views, { random, daemonCount: 100, ownRequestsPerSecond: 2 })?.upstream ?? '';
    sends.set(id, (sends.get(id) ?? 0) + 1);
  }
  assert.ok((sends.get('u0') ?? 0) > 100 && (sends.get('u0') ?? 0) < 200, `${sends.get('u0')}`);
});

test('the own slots of all daemons sum up to the limit', () => {
  fc.assert(
    fc.property(
      fc.nat(200),
      fc.nat(50),
      fc.integer({ min: 1, max: 60 }),
      (limit, upstreamIndex, daemonCount) => {
        const slots = Array.from({ length: daemonCount }, (_, daemonIndex) =>
          assignOwnSlots({ limit, upstreamIndex, daemonIndex, daemonCount }),
        );
        assert.is(
          slots.reduce((sum, count) => sum + count, 0),
          limit,
        );
        assert.ok(Math.max(...slots) - Math.min(...slots) <= 1);
      },
    ),
    { seed: 4 },
  );
});

test('ejects after consecutive failures, longer each time, and returns in slow start', () => {
  const pool = { poolSize: 4, ejectedCount: 0, random: createRandom(1) };
  let health = createHealth(0);
  for (let failure = 0; failure < 3; failure += 1) {
    health = recordOutcome(health, 'failed', 1_000, pool);
  }
  const firstMs = health.ejectedUntilMs - 1_000;
  assert.ok(firstMs >= 2_000 && firstMs <= 3_000);
  const probeAtMs = health.ejectedUntilMs + 1;
  const again = recordOutcome(health, 'timedOut', probeAtMs, pool);
  assert.ok(again.ejectedUntilMs - probeAtMs >= 4_000);
  const back = recordOutcome(health, 'succeeded', probeAtMs, pool);
  assert.is(back.ejectedUntilMs, 0);
  assert.is(back.slowStartSinceMs, probeAtMs);
});

// Guards against the ejection of a whole pool, after which every request is refused. This happens
// without a bound on ejections when all upstreams fail because of the requests or of a fault in
// front of the pool.
test('when all upstreams fail, at most half of the pool is ejected', () => {
  const random = createRandom(1);
  const pool = Array.from({ length: 8 }, () => createHealth(0));
  for (let round = 0; round < 20; round += 1) {
    pool.forEach((health, index) => {
      const ejectedCount = pool.filter(
        ({ ejectedUntilMs }, other) => other !== index && ejectedUntilMs !== 0,
      ).length;
      pool[index] = recordOutcome(health, 'failed', round, { poolSize: 8, ejectedCount, random });
    });
  }
  assert.is(pool.filter(({ ejectedUntilMs }) => ejectedUntilMs !== 0).length, 4);
});

test('the limit follows the size of a full batch and decreases on refusals', () => {
  const sample = {
    firstTokenMs: 100,
    load: 40,
    isRefused: false,
    reportedRunning: 16,
    reportedQueued: 8,
  };
  let state = createConcurrency(40);
  for (let count = 0; count < 40; count += 1) {
    state = adjustConcurrency(state, sample);
  }
  assert.ok(Math.abs(state.limit - 16) < 0.1);
  assert.ok(adjustConcurrency(state, { ...sample, isRefused: true }).limit < state.limit);
});

test.run();

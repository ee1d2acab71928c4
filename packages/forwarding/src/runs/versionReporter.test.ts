/** Slow responses of a new version, as reported by attempts. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { createSilentLogger } from '@snipehaven/common';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { Freshness } from '../configuration/freshness.js';
import { StoreClock, readClocks } from '../configuration/storeClock.js';
import { PeerLoads } from '../peers/index.js';
import { RolloutTracker } from '../rollouts/index.js';
import { UpstreamEntry } from '../upstreams/index.js';
import type { CallerRequest } from './callerRequest.js';
import type { ForwardDependencies } from './dependencies.js';
import { VersionReporter } from './versionReporter.js';

interface Context {
  clock: Clock;
  guide: RolloutTracker;
}

const EVENTS = 30;
const EVENT_BYTES = 80;
const BASELINE_GAP_MS = 20;
const ORDER = { service: 's', toVersion: 'v2', durationMs: 60_000 };

const test = suite<Context>('version reporter');

test.before.each((context) => {
  context.clock = FakeTimers.install({ now: 1_700_000_000_000 });
  const freshness = new Freshness();
  freshness.confirm({ asked: readClocks(), serverTimeMs: 0 });
  context.guide = new RolloutTracker({
    logger: createSilentLogger(),
    vm: 'vm',
    freshness,
    clock: new StoreClock(),
    sessionTtlMs: 5_000,
    allowedExposure: 0.15,
    exposureSlack: 0,
    countSessionMove: () => {},
    findPeerCounts: () => undefined,
    countUpstreams: () => new Map([['a', 1]]),
    hasEvacuatedUpstreams: () => false,
  });
  context.guide.applyOrder(ORDER, { era: 1, version: 7 }, 0);
});

test.after.each(({ clock }) => clock.uninstall());

const createReporter = (guide: RolloutTracker, softwareVersion: string): VersionReporter => {
  const place = { id: softwareVersion, service: 's', host: '127.0.0.1', port: 1, dataCentre: 'a' };
  const upstream = { ...place, softwareVersion, slots: 4, state: 'ready' as const };
  const entry = new UpstreamEntry(upstream, new PeerLoads());
  const request = { options: { attemptId: 'a' } } as unknown as CallerRequest;
  const dependencies = { rollouts: guide } as unknown as ForwardDependencies;
  const attempt = { entry, route: { name: 'r' }, model: 'm', expectedMs: 60 };
  return new VersionReporter(dependencies, request, attempt);
};

/** A stream whose response head arrives at the usual time. */
const stream = (
  { clock, guide }: Context,
  softwareVersion: string,
  gapsMs: readonly number[],
): void => {
  const report = createReporter(guide, softwareVersion);
  report.onSent();
  clock.tick(60);
  report.onResponseStart();
  report.reportOutcome('answered');
  gapsMs.forEach((gapMs) => {
    clock.tick(gapMs);
    report.onBytes(EVENT_BYTES);
  });
  report.onResponseComplete();
  report.clearSlowTimer();
};

const evenGaps = (gapMs: number): readonly number[] => Array.from({ length: EVENTS }, () => gapMs);

const getState = ({ guide }: Context): string | undefined => [...guide.rollouts][0]?.state;

const streamMany = (context: Context, version: string, gapsMs: readonly number[]): void => {
  for (let count = 0; count < 10; count += 1) {
    stream(context, version, gapsMs);
  }
};

test('a version whose streams start on time but continue too slowly is rolled back', (context) => {
  streamMany(context, 'v1', evenGaps(BASELINE_GAP_MS));
  streamMany(context, 'v2', evenGaps(BASELINE_GAP_MS));
  assert.is(getState(context), 'running');
  streamMany(context, 'v2', evenGaps(BASELINE_GAP_MS * 8));
  assert.is(getState(context), 'rolledBack');
});

test('a network stall does not count against a version', (context) => {
  streamMany(context, 'v1', evenGaps(BASELINE_GAP_MS));
  const [, ...others] = evenGaps(BASELINE_GAP_MS);
  streamMany(context, 'v2', [2_000, ...others]);
  assert.is(getState(context), 'running');
});

test('a version is not rolled back for work that is as slow on the old version', (context) => {
  streamMany(context, 'v1', evenGaps(BASELINE_GAP_MS));
  streamMany(context, 'v1', evenGaps(BASELINE_GAP_MS * 8));
  streamMany(context, 'v2', evenGaps(BASELINE_GAP_MS * 8));
  assert.is(getState(context), 'running');
});

test.run();

/**
 * Daemons that bring in a version together, in virtual time: requests go where the roll-out sends
 * them, answers take as long as a test says, and counts are told every `TELL_MS`.
 */
import type { Clock } from '@sinonjs/fake-timers';
import { createRandom, createSilentLogger, type Random } from '@snipehaven/common';
import { Freshness } from '../../configuration/freshness.js';
import { StoreClock, readClocks } from '../../configuration/storeClock.js';
import { addRolloutCounts, type RolloutCounts } from '../../peers/index.js';
import type { CallerRequest } from '../../runs/callerRequest.js';
import type { ForwardDependencies } from '../../runs/dependencies.js';
import { VersionReporter } from '../../runs/versionReporter.js';
import type { UpstreamEntry } from '../../upstreams/index.js';
import { RolloutTracker } from '../rolloutTracker.js';
import type { RolloutStage } from '../types.js';
import { createEntry } from './simulatedDaemon.js';

const SERVICE = 's';
const ORDER_REVISION = { era: 1, version: 7 };
const TELL_MS = 150;
const JUDGE_MS = 250;
const EXPECTED_MS = 100;

/** Standard deviation of answer times, in factors of two. */
const SPREAD_OCTAVES = 1;

export interface FleetPlan {
  readonly seed: number;
  readonly daemons: number;
  readonly requestsPerS: number;
  readonly durationMs: number;
  readonly hasSessions: boolean;
  /** Factor by which an answer takes longer at this time since the order. */
  getSlowdown(version: string, atMs: number, random: Random): number;
}

export interface FleetResult {
  readonly candidateRequests: number;
  readonly requests: number;
  /** The requests that a version that turns out bad may get. */
  readonly allowedRequests: number;
  readonly stages: ReadonlySet<RolloutStage>;
  /** Whether the roll-out may be completed at its end. */
  readonly mayBeCompleted: boolean;
}

export const ALLOWED_EXPOSURE = 0.15;
export const EXPOSURE_SLACK = 30;

const drawNormal = (random: Random): number =>
  Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());

export class RolloutFleet {
  readonly #plan: FleetPlan;

  readonly #clock: Clock;

  readonly #random: Random;

  readonly #freshness = new Freshness();

  readonly #trackers: readonly RolloutTracker[];

  readonly #entries: readonly UpstreamEntry[] = [createEntry('v1'), createEntry('v2')];

  #told: readonly (RolloutCounts | undefined)[] = [];

  #requests = 0;

  #candidateRequests = 0;

  constructor(plan: FleetPlan, clock: Clock) {
    this.#plan = plan;
    this.#clock = clock;
    this.#random = createRandom(plan.seed);
    this.#confirmStore();
    this.#trackers = Array.from({ length: plan.daemons }, (_, index) => this.#createTracker(index));
  }

  run(): FleetResult {
    const { durationMs, requestsPerS } = this.#plan;
    const order = { service: SERVICE, toVersion: 'v2', durationMs };
    this.#trackers.forEach((tracker) => tracker.applyOrder(order, ORDER_REVISION, 0));
    const timers = [
      this.#clock.setInterval(() => this.#tellCounts(), TELL_MS),
      this.#clock.setInterval(() => this.#judge(), JUDGE_MS),
      this.#clock.setInterval(() => this.#sendRequest(), 1_000 / requestsPerS),
    ];
    this.#clock.tick(durationMs);
    timers.forEach((timer) => this.#clock.clearInterval(timer));
    const mayBeCompleted = this.#trackers.some(
      (tracker) =>
        tracker.findObservedRollout(SERVICE)?.stage === 'closing' &&
        [...tracker.rollouts].every(({ isProven }) => isProven),
    );
    return {
      candidateRequests: this.#candidateRequests,
      requests: this.#requests,
      allowedRequests: ALLOWED_EXPOSURE * this.#requests + EXPOSURE_SLACK,
      stages: new Set(
        this.#trackers.map((one) => one.findObservedRollout(SERVICE)?.stage ?? 'none'),
      ),
      mayBeCompleted,
    };
  }

  #createTracker(index: number): RolloutTracker {
    return new RolloutTracker({
      logger: createSilentLogger(),
      vm: `vm-${index}`,
      freshness: this.#freshness,
      clock: new StoreClock(),
      sessionTtlMs: 5_000,
      allowedExposure: ALLOWED_EXPOSURE,
      exposureSlack: EXPOSURE_SLACK,
      countSessionMove: () => {},
      findPeerCounts: () => this.#sumOthers(index),
      countUpstreams: () => new Map([['a', 1]]),
      hasEvacuatedUpstreams: () => false,
    });
  }

  #sumOthers(index: number): RolloutCounts | undefined {
    return this.#told[index];
  }

  #tellCounts(): void {
    this.#confirmStore();
    const own = this.#trackers.map((tracker) => tracker.ownCounts[0]);
    this.#told = own.map((_, index) =>
      own
        .filter(
          (counts, other): counts is NonNullable<typeof counts> => other !== index && !!counts,
        )
        .reduce<RolloutCounts | undefined>(
          (sum, counts) => (sum === undefined ? counts : addRolloutCounts(sum, counts)),
          undefined,
        ),
    );
  }

  #judge(): void {
    this.#trackers.forEach((tracker) => tracker.judgeAll());
    const isBad = this.#trackers.some(
      (tracker) => tracker.findObservedRollout(SERVICE)?.stage === 'rolledBack',
    );
    if (isBad) {
      const news = { service: SERVICE, orderRevision: ORDER_REVISION };
      this.#trackers.forEach((tracker) => tracker.receiveBadVersion(news));
    }
  }

  #confirmStore(): void {
    this.#freshness.confirm({ asked: readClocks(), serverTimeMs: performance.now() });
  }

  #sendRequest(): void {
    const { daemons, hasSessions, getSlowdown } = this.#plan;
    const id = `request ${this.#requests}`;
    const options = {
      attemptId: id,
      ...(hasSessions ? { session: id } : {}),
      promptTokens: 0,
      maxOutputTokens: 0,
      promptParts: [],
    };
    const rollouts = this.#trackers[this.#random.nextInt(daemons)];
    const [entry] = rollouts?.filterUpstreams(SERVICE, options, this.#entries) ?? [];
    if (rollouts === undefined || entry === undefined) {
      return;
    }
    const version = entry.upstream.softwareVersion ?? '';
    this.#requests += 1;
    this.#candidateRequests += version === 'v2' ? 1 : 0;
    const reporter = new VersionReporter(
      { rollouts } as unknown as ForwardDependencies,
      { options } as unknown as CallerRequest,
      { entry, route: { name: 'r' }, model: 'm', expectedMs: EXPECTED_MS },
    );
    reporter.onSent();
    const factor = getSlowdown(version, performance.now(), this.#random);
    const tookMs = EXPECTED_MS * 2 ** (SPREAD_OCTAVES * drawNormal(this.#random)) * factor;
    this.#clock.setTimeout(() => {
      entry.recordActivity(performance.now(), 'direct');
      reporter.onResponseStart();
      reporter.reportOutcome('answered');
      reporter.onReleased();
    }, tookMs);
  }
}

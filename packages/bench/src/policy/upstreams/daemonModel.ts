/** A simulated daemon: admission, choice, attempts and retries by the decision code itself. */
import type { Random } from '@snipehaven/common';
import {
  assignOwnSlots,
  countPrefix,
  createPrefixCounts,
  createRetryBudget,
  decideRetry,
  feedRetryBudget,
  getMaxRunning,
  getPrefixShare,
} from '@snipehaven/policy';
import type {
  AttemptVerdict,
  OutcomeKind,
  PrefixCounts,
  RetryBudget,
  UpstreamView,
} from '@snipehaven/policy';
import { createAdmissionModel } from './admissionModels.js';
import type { AdmissionModel } from './admissionModels.js';
import { AttemptedRun } from './attemptedRun.js';
import type { EngineModel } from './engineModel.js';
import type { EventQueue } from './eventQueue.js';
import type {
  ChooseFunction,
  PoolPolicy,
  PoolSetup,
  RequestResult,
  SimulatedRequest,
} from './types.js';
import { LOCAL_DATA_CENTRE, UpstreamState } from './upstreamState.js';

/** Told how each request ended, with the time its caller should come back after, if any. */
export type ResultListener = (result: RequestResult, retryAfterMs?: number) => void;

const MIN_ATTEMPT_MS = 50;
const RATE_WEIGHT = 0.05;

const VERDICTS: Readonly<Record<OutcomeKind, AttemptVerdict>> = {
  succeeded: 'ran',
  refused: 'notRun',
  unreachable: 'notRun',
  failed: 'unknown',
  timedOut: 'unknown',
};

/** One daemon before all engines. */
export class DaemonModel {
  readonly upstreams: readonly UpstreamState[];

  #views: readonly UpstreamView[];

  #events: EventQueue;

  #engines: readonly EngineModel[];

  #random: Random;

  #policy: PoolPolicy;

  #choose: ChooseFunction;

  #admission: AdmissionModel;

  #budget: RetryBudget = createRetryBudget();

  #daemonCount: number;

  #listener: ResultListener;

  #prefixes: PrefixCounts = createPrefixCounts();

  #gapMs = 0;

  #lastArrivalMs = 0;

  constructor(
    index: number,
    setup: PoolSetup,
    policy: PoolPolicy,
    world: {
      events: EventQueue;
      engines: readonly EngineModel[];
      random: Random;
      listener: ResultListener;
    },
  ) {
    this.#events = world.events;
    this.#engines = world.engines;
    this.#random = world.random;
    this.#listener = world.listener;
    this.#policy = policy;
    this.#daemonCount = setup.daemonCount;
    this.#choose = policy.createChoose(index);
    this.upstreams = world.engines.map(
      (_, engine) =>
        new UpstreamState(engine, policy.concurrency, (limit) =>
          policy.usesOwnSlots
            ? assignOwnSlots({
                limit,
                upstreamIndex: engine,
                daemonIndex: index,
                daemonCount: setup.daemonCount,
              })
            : limit / setup.daemonCount,
        ),
    );
    this.#views = this.upstreams.map(({ view }) => view);
    this.#admission = createAdmissionModel(policy.admission, {
      random: world.random,
      getMaxRunning: () => this.#getMaxRunning(),
      run: (request) => this.#attempt(new AttemptedRun(request, this.#events.nowMs)),
      refuse: (request, retryAfterMs) => this.#refuse(request, retryAfterMs),
    });
  }

  /** A request comes from a caller. */
  receive(request: SimulatedRequest): void {
    this.#followRate();
    if (this.#policy.usesAffinity) {
      this.#prefixes = countPrefix(this.#prefixes, request.prefixKey);
    }
    this.#budget = feedRetryBudget(this.#budget);
    this.#admission.offer(request, this.#events.nowMs);
  }

  /** New reports may have made room. */
  recheck(): void {
    this.#admission.recheck(this.#events.nowMs);
  }

  #followRate(): void {
    const gapMs = this.#events.nowMs - this.#lastArrivalMs;
    this.#lastArrivalMs = this.#events.nowMs;
    this.#gapMs = this.#gapMs === 0 ? gapMs : this.#gapMs + RATE_WEIGHT * (gapMs - this.#gapMs);
  }

  #getMaxRunning(): number {
    return getMaxRunning(
      this.upstreams.map(({ view }) => view),
      this.#daemonCount,
    );
  }

  #refuse(request: SimulatedRequest, retryAfterMs?: number): void {
    this.#listener({ request, kind: 'refused', endedAtMs: this.#events.nowMs }, retryAfterMs);
  }

  #attempt(run: AttemptedRun): void {
    const engineIndex = this.#chooseEngine(run);
    if (engineIndex === undefined) {
      this.#endRun(run);
      this.#refuse(run.request);
      return;
    }
    this.#send(run, engineIndex);
  }

  #chooseEngine({ request, engines }: AttemptedRun): number | undefined {
    if (this.#policy.usesAffinity) {
      this.upstreams.forEach((upstream) => upstream.lookUpPrefix(request.prefixKey));
    }
    const views = this.#views;
    const chosen = this.#choose({
      upstreams: views,
      prefixKey: request.prefixKey,
      prefixShare: getPrefixShare(this.#prefixes, request.prefixKey),
      localDataCentre: LOCAL_DATA_CENTRE,
      nowMs: this.#events.nowMs,
      random: this.#random,
      excludedIds: engines.flatMap((index) => views[index]?.id ?? []),
      daemonCount: this.#daemonCount,
      ownRequestsPerSecond: this.#gapMs > 0 ? 1_000 / this.#gapMs : 0,
      canProbe: request.isIdempotent,
    });
    const index = views.findIndex(({ id }) => id === chosen);
    return index < 0 ? undefined : index;
  }

  #send(run: AttemptedRun, engineIndex: number): void {
    const engine = this.#engines[engineIndex] as EngineModel;
    const upstream = this.upstreams[engineIndex] as UpstreamState;
    const sentAtMs = this.#events.nowMs;
    const { load } = upstream;
    run.recordAttempt(engineIndex);
    upstream.recordSend(sentAtMs);
    const end = (outcome: OutcomeKind): void => {
      upstream.recordEnd(sentAtMs);
      if (this.#policy.usesHealth) {
        upstream.recordHealth(outcome, this.#events.nowMs, this.upstreams, this.#random);
      }
    };
    const fail = (outcome: OutcomeKind): void => {
      end(outcome);
      if (outcome === 'refused') {
        upstream.recordSample(upstream.view.firstTokenMs, load, true);
      }
      this.#retry(run, outcome);
    };
    engine.submit(run.request, {
      onFirstToken: () => {
        run.recordFirstToken(this.#events.nowMs);
        upstream.recordSample(this.#events.nowMs - sentAtMs, load, false);
      },
      onFinished: () => {
        end('succeeded');
        this.#finish(run, 'answered');
      },
      onRefused: () => fail('refused'),
      onUnreachable: () => fail('unreachable'),
      onCut: (isSilent) => fail(isSilent ? 'timedOut' : 'failed'),
    });
  }

  #retry(run: AttemptedRun, outcome: OutcomeKind): void {
    const verdict = VERDICTS[outcome];
    const decision = decideRetry(
      {
        verdict,
        isIdempotent: run.request.isIdempotent,
        hasAnswerStarted: run.firstTokenMs !== undefined,
        attempts: run.engines.length,
        budget: this.#budget,
        remainingMs: run.request.deadlineAtMs - this.#events.nowMs,
        expectedMs: MIN_ATTEMPT_MS,
        retryAfterMs: 0,
        openTargets: ['sameModel'],
      },
      this.#random,
    );
    this.#budget = decision.budget;
    if (decision.kind === 'retry') {
      this.#events.schedule(decision.afterMs, () => this.#attempt(run));
    } else {
      this.#finish(run, verdict === 'notRun' ? 'refused' : 'lost');
    }
  }

  #endRun(run: AttemptedRun): void {
    this.#admission.complete(
      run.request,
      this.#events.nowMs - run.admittedAtMs,
      this.#events.nowMs,
    );
  }

  #finish(run: AttemptedRun, kind: RequestResult['kind']): void {
    const { request, firstTokenMs } = run;
    const endedAtMs = this.#events.nowMs;
    this.#listener({
      request,
      kind,
      endedAtMs,
      ...(firstTokenMs !== undefined && { firstTokenMs }),
    });
    this.#endRun(run);
  }
}

/** Plays a fleet's day in virtual time, its daemons deciding by the shipped policy. */
import { createRandom, type Random } from '@snipehaven/common';
import {
  addPaces,
  choosePlacement,
  chooseNextModel,
  getLeaveMs,
  ModelDemand,
  WorkPace,
  type ModelWork,
  type PaceSum,
  type PlacementInput,
} from '@snipehaven/policy';
import { EventQueue } from '../policy/world/eventQueue.js';
import { drawExponential } from '../policy/world/sampling.js';
import { ColdReturns } from './coldReturns.js';
import { drawRequest, type PlayedRequest } from './drawRequest.js';
import { FleetEngine, type FleetRun } from './fleetEngine.js';
import type { FleetModel, FleetOutcome, FleetPlan, FleetSwitches } from './types.js';

/** Daemons hear of each other's work this often. */
const NEWS_MS = 150;

/**
 * As the daemon counts work: what a token written delays a prompt by, and what a request adds to a
 * round.
 */
const DELAY_PER_OUTPUT_TOKEN = 0.5;
const STEP_TOKENS = 40;
const REMOTE_MS = 40;

interface Load {
  work: number;
  requests: number;
}

const NO_LOAD: Load = { work: 0, requests: 0 };

interface DaemonState {
  readonly dataCentre: string;
  readonly pace: WorkPace;
  readonly demand: ModelDemand;
  readonly loads: readonly Load[];
}

interface Placing {
  readonly input: PlacementInput;
  readonly index: number;
  readonly startWork: number;
  readonly runWork: number;
  readonly backlog: number;
}

class FleetPlay {
  readonly #plan: FleetPlan;

  readonly #switches: FleetSwitches;

  readonly #clock = new EventQueue();

  readonly #random: Random;

  readonly #engines: readonly FleetEngine[];

  readonly #daemons: readonly DaemonState[];

  readonly #coldReturns: ColdReturns;

  /** What each daemon had at each engine when it last told, and all of them together. */
  #told: readonly (readonly Load[])[] = [];

  #toldSums: readonly Load[] = [];

  /** What all daemons had learned when they last told. */
  #pace: PaceSum | undefined;

  #demand: readonly ModelWork[] = [];

  #requests = 0;

  #onTime = 0;

  #onTimeAndRight = 0;

  #askedAgain = 0;

  constructor(plan: FleetPlan, switches: FleetSwitches) {
    this.#plan = plan;
    this.#switches = switches;
    this.#random = createRandom(plan.seed);
    this.#coldReturns = new ColdReturns(plan, switches.sharesColdRate);
    const everRead = new Set<string>();
    this.#engines = Array.from(
      { length: plan.engines },
      () => new FleetEngine(plan.shape, this.#clock, everRead),
    );
    this.#daemons = Array.from({ length: plan.daemons }, (_, index) => ({
      dataCentre: this.#nameDataCentre(index),
      pace: new WorkPace(() => this.#pace),
      demand: new ModelDemand(() => this.#demand),
      loads: this.#engines.map(() => ({ work: 0, requests: 0 })),
    }));
  }

  play(): FleetOutcome {
    this.#scheduleArrivals();
    for (let atMs = 0; atMs < this.#plan.lengthMs; atMs += NEWS_MS) {
      this.#clock.schedule(atMs, () => this.#tellLoads());
    }
    this.#clock.runUntil(this.#plan.lengthMs * 2);
    const readAgain = this.#engines.reduce((sum, one) => sum + one.readAgainTokens, 0);
    return {
      requests: this.#requests,
      onTime: this.#onTime / this.#requests,
      onTimeAndRight: this.#onTimeAndRight / this.#requests,
      askedAgain: this.#askedAgain / this.#requests,
      readAgainK: Math.round(readAgain / 1_000),
      mostWhileCold: this.#coldReturns.most,
    };
  }

  #nameDataCentre(index: number): string {
    return `dc-${index % this.#plan.dataCentres}`;
  }

  #scheduleArrivals(): void {
    const { kinds, burst, lengthMs } = this.#plan;
    const perMs = kinds.reduce((sum, { perS }) => sum + perS, 0) / 1_000;
    let atMs = 0;
    while (atMs < lengthMs) {
      const isBurst = burst !== undefined && atMs >= burst.fromMs && atMs < burst.toMs;
      atMs += drawExponential(1 / (perMs * (isBurst ? burst.factor : 1)), this.#random);
      const request = drawRequest(this.#plan, atMs, this.#random);
      const daemon = this.#daemons[this.#random.nextInt(this.#daemons.length)] as DaemonState;
      this.#clock.schedule(atMs, () => this.#serve(daemon, request));
    }
  }

  #tellLoads(): void {
    this.#told = this.#daemons.map(({ loads }) => loads.map((load) => ({ ...load })));
    this.#toldSums = this.#engines.map((_engine, index) => this.#sumTold(index));
    if (this.#switches.sharesLearning) {
      this.#tellLearned();
    }
  }

  #sumTold(index: number): Load {
    const sum = { work: 0, requests: 0 };
    this.#told.forEach((loads) => {
      sum.work += loads[index]?.work ?? 0;
      sum.requests += loads[index]?.requests ?? 0;
    });
    return sum;
  }

  #tellLearned(): void {
    const paces = this.#daemons.map(({ pace }) => pace.own);
    this.#pace = paces.reduce(addPaces);
    this.#demand = this.#daemons.flatMap(({ demand }) => demand.own);
  }

  #serve(daemon: DaemonState, request: PlayedRequest): void {
    this.#requests += 1;
    const smallest = this.#plan.models[0] as FleetModel;
    this.#run(daemon, request, smallest, undefined);
  }

  /** Sends the request to an engine; `used` has answered already. */
  #run(
    daemon: DaemonState,
    request: PlayedRequest,
    model: FleetModel,
    used: number | undefined,
  ): void {
    const placing = this.#place(daemon, request, model, used);
    const { index, startWork, runWork, backlog } = placing;
    this.#coldReturns.note(this.#daemons.indexOf(daemon), index, this.#clock.nowMs);
    const engine = this.#engines[index] as FleetEngine;
    const load = daemon.loads[index] as Load;
    load.work += startWork + runWork;
    load.requests += 1;
    daemon.demand.recordWork(model.name, startWork + runWork);
    const sentAtMs = this.#clock.nowMs;
    const settle = (work: number): void => {
      load.requests -= 1;
      load.work -= work;
    };
    const run: FleetRun = {
      model,
      subject: request.kind.sharedTokens > 0 ? request.subject : '',
      sharedTokens: request.kind.sharedTokens,
      ownTokens: request.ownTokens,
      outputTokens: request.outputTokens,
      priority: request.kind.priority,
      onBegin: () => {
        daemon.pace.recordAnswer(backlog + startWork, this.#clock.nowMs - sentAtMs);
        load.work -= startWork;
        if (used === undefined && this.#wantsLarger(daemon, request, index)) {
          engine.cancel(run);
          settle(runWork);
          this.#askedAgain += 1;
          this.#run(daemon, request, this.#plan.models.at(-1) as FleetModel, index);
          return;
        }
        this.#noteAnswer(request, model);
      },
      onEnd: () => settle(runWork),
    };
    engine.submit(run);
  }

  #noteAnswer(request: PlayedRequest, { quality }: FleetModel): void {
    if (this.#clock.nowMs - request.atMs <= request.kind.targetMs) {
      this.#onTime += 1;
      this.#onTimeAndRight += request.hardness <= quality ? 1 : 0;
    }
  }

  #wantsLarger(daemon: DaemonState, request: PlayedRequest, used: number): boolean {
    const largest = this.#plan.models.at(-1) as FleetModel;
    const place = this.#place(daemon, request, largest, used);
    const leftMs = request.atMs + request.kind.targetMs - this.#clock.nowMs;
    const { followsLoad } = this.#switches;
    const next = chooseNextModel(
      {
        models: this.#plan.models.map(({ name }) => name),
        confidence: request.confidence,
        onTimeLeftMs: leftMs,
        waitMs: followsLoad ? daemon.pace.estimateMs(place.backlog) : 0,
        meanWaitMs: followsLoad ? daemon.pace.estimateMs(this.#getMeanWork(daemon)) : 0,
        expectedStartMs: followsLoad
          ? daemon.pace.estimateStartMs(place.backlog + place.startWork)
          : 0,
        priority: request.kind.priority,
        canAttemptAgain: true,
      },
      this.#plan.models[0]?.name ?? '',
    );
    return next !== undefined;
  }

  #getBacklog(daemon: DaemonState, index: number): Load {
    const own = daemon.loads[index] as Load;
    const told = this.#told[this.#daemons.indexOf(daemon)]?.[index] ?? NO_LOAD;
    const sum = this.#toldSums[index] ?? NO_LOAD;
    return {
      work: sum.work - told.work + own.work,
      requests: sum.requests - told.requests + own.requests,
    };
  }

  #getMeanWork(daemon: DaemonState): number {
    const works = this.#engines.map((_engine, index) => this.#getBacklog(daemon, index).work);
    return works.reduce((sum, work) => sum + work, 0) / works.length;
  }

  #place(
    daemon: DaemonState,
    request: PlayedRequest,
    model: FleetModel,
    used: number | undefined,
  ): Placing {
    const largestCost = this.#plan.models.at(-1)?.costPer1000Tokens ?? 1;
    const share = model.costPer1000Tokens / largestCost;
    const loads = this.#engines.map((_engine, index) => this.#getBacklog(daemon, index));
    const { hasLanes, hasSharedHomes } = this.#switches;
    const names = this.#plan.models.map(({ name }) => name);
    const partition = hasLanes ? daemon.demand.findPartition(names, model.name) : undefined;
    const sharedWork = request.kind.sharedTokens * share;
    const wayThere = daemon.pace.estimateWork(REMOTE_MS);
    const remotePenalty = hasSharedHomes ? wayThere : Math.max(wayThere, sharedWork);
    const daemonIndex = this.#daemons.indexOf(daemon);
    const isAdmitted = (index: number): boolean =>
      this.#coldReturns.admits(daemonIndex, index, this.#clock.nowMs);
    const toCandidate = ({ work, requests }: Load, index: number) => ({
      id: `engine-${index}`,
      dataCentre: this.#nameDataCentre(index),
      remotePenalty: this.#nameDataCentre(index) === daemon.dataCentre ? 0 : remotePenalty,
      backlog: work,
      requests,
      occupancy: requests / this.#plan.shape.slots,
      failureShare: 0,
      isSuspect: index === used,
    });
    const input: PlacementInput = {
      candidates: loads.map(toCandidate).filter((_one, index) => isAdmitted(index)),
      sharedWork,
      ownWork: (STEP_TOKENS + request.ownTokens) * share,
      leavePenalty: daemon.pace.estimateWork(
        getLeaveMs(daemon.pace.estimateMs(this.#getMeanWork(daemon))),
      ),
      random: this.#random.next(),
      ...(partition === undefined ? {} : { lane: partition }),
      ...(sharedWork > 0 ? { affinityKey: `${model.name}|${request.subject}` } : {}),
    };
    const placed = choosePlacement(input);
    const index = Number(placed?.id.slice('engine-'.length) ?? 0);
    return {
      input,
      index,
      startWork: input.ownWork + (placed?.isOwner ? 0 : sharedWork),
      runWork: request.outputTokens * DELAY_PER_OUTPUT_TOKEN * share,
      backlog: loads[index]?.work ?? 0,
    };
  }
}

/** The same plan and switches give the same outcome. */
export const playFleet = (plan: FleetPlan, switches: FleetSwitches): FleetOutcome =>
  new FleetPlay(plan, switches).play();

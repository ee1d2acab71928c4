/** Runs one policy through a deployment's requests on the virtual clock. */
import { createSeededRandom } from '../world/seededRandom.js';
import { type Random, type VersionId } from '@snipehaven/common';
import {
  noEvidence,
  type QualityEvidence,
  type PlanInput,
  type PlanStep,
  type RequestPlan,
  type TeamChoiceSettings,
  type VersionCandidate,
} from '@snipehaven/policy';
import type { RequestModel } from '../world/arrivals.js';
import { EventQueue } from '../world/eventQueue.js';
import { drawRatingTime, isRaterUp, type RaterModel } from '../world/rater.js';
import {
  drawScore,
  versionModels,
  type VersionFault,
  type VersionModel,
} from '../world/versions.js';
import { EnginePool } from './enginePool.js';
import { createBoardKey, EvidenceBoard, type BoardKey } from './evidenceBoard.js';
import type { ChoicePolicy, Planner, PolicyWorld } from './policies.js';

/** One run's surroundings. */
export interface ChoiceWorld extends PolicyWorld {
  readonly requests: readonly RequestModel[];
  readonly faults: readonly VersionFault[];
  readonly untilMs: number;
  readonly seed: number;
}

/** How one request went. */
export interface RequestResult {
  readonly request: RequestModel;
  readonly costMicroUsd: number;
  readonly score: number;
  readonly finishedAtMs: number;
  /** The version whose answer was released. */
  readonly version: VersionId;
}

/** The results of a run. */
export interface ChoiceResult {
  readonly results: readonly RequestResult[];
  readonly driftCount: number;
}

const PRICE_UNIT_TOKENS = 1_000_000;
const TOKEN_MEAN_FACTOR = Math.exp(0.5 ** 2 / 2);
/** Operators' expectation of each version, by its price only. */
const PRIOR_WEIGHT = 2;
const PRIOR_QUALITIES = [0.6, 0.7, 0.8, 0.9];

interface StreamKeys {
  readonly direct: BoardKey;
  readonly escalated: BoardKey;
}

/** A request on its way through its plan. */
class RunningRequest {
  readonly request: RequestModel;

  readonly plan: RequestPlan;

  #costMicroUsd = 0;

  #isEscalated = false;

  constructor(request: RequestModel, plan: RequestPlan) {
    this.request = request;
    this.plan = plan;
  }

  get costMicroUsd(): number {
    return this.#costMicroUsd;
  }

  get isEscalated(): boolean {
    return this.#isEscalated;
  }

  addCost(costMicroUsd: number): void {
    this.#costMicroUsd += costMicroUsd;
  }

  escalate(): void {
    this.#isEscalated = true;
  }
}

const getCost = (model: VersionModel, request: RequestModel): number =>
  (request.promptTokens * model.inputMicroUsdPerMillionTokens +
    request.completionTokens * model.outputMicroUsdPerMillionTokens) /
  PRICE_UNIT_TOKENS;

/** Drives one policy; holds the run's engines, evidence and clock. */
class ChoiceRun {
  readonly #world: ChoiceWorld;

  readonly #planner: Planner;

  readonly #usesEvidence: boolean;

  readonly #queue = new EventQueue();

  readonly #random: Random;

  readonly #board: EvidenceBoard;

  readonly #pools: ReadonlyMap<VersionId, EnginePool>;

  readonly #models: ReadonlyMap<VersionId, VersionModel>;

  readonly #results: RequestResult[] = [];

  /** Keys by the settings of a team's task, which stand for the stream. */
  readonly #keys = new Map<TeamChoiceSettings, Map<VersionId, StreamKeys>>();

  constructor(world: ChoiceWorld, policy: ChoicePolicy) {
    this.#world = world;
    this.#usesEvidence = policy.usesEvidence;
    this.#planner = policy.createPlanner(world);
    this.#random = createSeededRandom(world.seed);
    this.#board = new EvidenceBoard();
    this.#pools = new Map(versionModels.map((model) => [model.version, new EnginePool(model)]));
    this.#models = new Map(versionModels.map((model) => [model.version, model]));
  }

  run(): ChoiceResult {
    this.#world.requests.forEach((request) => {
      this.#queue.schedule(request.atMs, () => this.#start(request));
    });
    this.#queue.runUntil(this.#world.untilMs);
    return { results: this.#results, driftCount: this.#board.driftCount };
  }

  get #rater(): RaterModel {
    return this.#world.rater;
  }

  #start(request: RequestModel): void {
    const plan = this.#planner(this.#createInput(request), request.team.team);
    const running = new RunningRequest(request, plan);
    this.#runStep(running, 0);
    if (plan.shadowVersion) {
      this.#runShadow(running, plan.shadowVersion);
    }
  }

  /** The shadow's cost falls on the request; its rating comes late like any other. */
  #runShadow(running: RunningRequest, version: VersionId): void {
    const { request } = running;
    const { nowMs } = this.#queue;
    const pool = this.#pools.get(version)!;
    const run = pool.run(nowMs, request.promptTokens, request.completionTokens);
    running.addCost(getCost(this.#models.get(version)!, request) + this.#rater.costMicroUsd);
    const readableAtMs = drawRatingTime(this.#rater, run.finishedAtMs, this.#random);
    if (readableAtMs !== undefined) {
      this.#queue.schedule(readableAtMs, () => this.#rateShadow(running, version));
    }
  }

  #rateShadow(running: RunningRequest, version: VersionId): void {
    const score = this.#drawScore(running.request, version);
    const keys = this.#getKeys(running.request, version);
    this.#board.rate(keys.direct, score, this.#queue.nowMs);
    if (running.isEscalated) {
      this.#board.rate(keys.escalated, score, this.#queue.nowMs);
    }
  }

  #createInput(request: RequestModel): PlanInput {
    const { task, team } = request;
    return {
      task: task.task,
      team: team.settings[task.task]!,
      candidates: versionModels.map((model, index) => this.#createCandidate(request, model, index)),
      promptTokens: request.promptTokens,
      expectedCompletionTokens: task.completionTokens * TOKEN_MEAN_FACTOR,
      ratingCostMicroUsd: this.#rater.costMicroUsd,
      ratingMs: this.#rater.inlineMs,
      remainingMs: task.deadlineMs,
      isRaterUp: isRaterUp(this.#rater, this.#queue.nowMs),
      isIdempotent: true,
      random: this.#random,
    };
  }

  #createCandidate(request: RequestModel, model: VersionModel, index: number): VersionCandidate {
    const keys = this.#getKeys(request, model.version);
    return {
      version: model.version,
      inputMicroUsdPerMillionTokens: model.inputMicroUsdPerMillionTokens,
      outputMicroUsdPerMillionTokens: model.outputMicroUsdPerMillionTokens,
      evidence: this.#getEvidence(keys.direct),
      escalatedEvidence: this.#getEvidence(keys.escalated),
      priorQuality: { quality: PRIOR_QUALITIES[index] ?? 0.5, weight: PRIOR_WEIGHT },
      firstTokenMs: this.#pools.get(model.version)?.firstTokenEstimateMs ?? 0,
      msPerToken: model.msPerToken,
    };
  }

  #getEvidence(key: BoardKey): QualityEvidence {
    return this.#usesEvidence ? this.#board.getEvidence(key, this.#queue.nowMs) : noEvidence;
  }

  #runStep(running: RunningRequest, index: number): void {
    const step = running.plan.steps[index]!;
    if (index > 0) {
      running.escalate();
    }
    const pool = this.#pools.get(step.version)!;
    const { request } = running;
    const startedAtMs = this.#queue.nowMs;
    const run = pool.run(startedAtMs, request.promptTokens, request.completionTokens);
    running.addCost(getCost(this.#models.get(step.version)!, request));
    this.#queue.schedule(run.firstTokenAtMs, () => pool.observe(run.firstTokenAtMs - startedAtMs));
    this.#queue.schedule(run.finishedAtMs, () => this.#finishStep(running, step, index));
  }

  #finishStep(running: RunningRequest, step: PlanStep, index: number): void {
    const score = this.#drawScore(running.request, step.version);
    if (step.acceptAboveScore === undefined) {
      this.#release(running, step, score);
      this.#rateReleased(running, step, index, score);
      return;
    }
    this.#queue.schedule(this.#queue.nowMs + this.#rater.inlineMs, () =>
      this.#judgeStep(running, step, index, score),
    );
  }

  #judgeStep(running: RunningRequest, step: PlanStep, index: number, score: number): void {
    if (!isRaterUp(this.#rater, this.#queue.nowMs)) {
      this.#runStep(running, index + 1);
      return;
    }
    running.addCost(this.#rater.costMicroUsd);
    this.#board.rate(this.#getKey(running, step, index), score, this.#queue.nowMs);
    if (score >= step.acceptAboveScore!) {
      this.#release(running, step, score);
    } else {
      this.#runStep(running, index + 1);
    }
  }

  #release(running: RunningRequest, step: PlanStep, score: number): void {
    this.#results.push({
      request: running.request,
      costMicroUsd: running.costMicroUsd,
      score,
      finishedAtMs: this.#queue.nowMs,
      version: step.version,
    });
  }

  #rateReleased(running: RunningRequest, step: PlanStep, index: number, score: number): void {
    if (!running.plan.shouldRateAfterRelease) {
      return;
    }
    const readableAtMs = drawRatingTime(this.#rater, this.#queue.nowMs, this.#random);
    if (readableAtMs === undefined) {
      return;
    }
    const last = this.#results[this.#results.length - 1]!;
    const costMicroUsd = last.costMicroUsd + this.#rater.costMicroUsd;
    this.#results[this.#results.length - 1] = { ...last, costMicroUsd };
    const key = this.#getKey(running, step, index);
    this.#queue.schedule(readableAtMs, () => this.#board.rate(key, score, this.#queue.nowMs));
  }

  #getKey(running: RunningRequest, step: PlanStep, index: number): BoardKey {
    const keys = this.#getKeys(running.request, step.version);
    return index === 0 ? keys.direct : keys.escalated;
  }

  #getKeys(request: RequestModel, version: VersionId): StreamKeys {
    const byVersion = this.#keys.get(request.team.settings[request.task.task]!) ?? new Map();
    this.#keys.set(request.team.settings[request.task.task]!, byVersion);
    const known = byVersion.get(version) as StreamKeys | undefined;
    const { team } = request.team;
    const keys = known ?? {
      direct: createBoardKey(team, request.task.task, version, 'direct'),
      escalated: createBoardKey(team, request.task.task, version, 'escalated'),
    };
    byVersion.set(version, keys);
    return keys;
  }

  #drawScore(request: RequestModel, version: VersionId): number {
    const index = versionModels.findIndex((model) => model.version === version);
    const fault = this.#world.faults.find(
      (other) => other.version === version && this.#queue.nowMs >= other.fromMs,
    );
    const skill = (versionModels[index]?.skill ?? 0) - (fault?.skillLoss ?? 0);
    return drawScore(skill, request.difficulty, createSeededRandom(request.seed + index));
  }
}

/** Runs one policy. */
export const simulateChoice = (world: ChoiceWorld, policy: ChoicePolicy): ChoiceResult =>
  new ChoiceRun(world, policy).run();

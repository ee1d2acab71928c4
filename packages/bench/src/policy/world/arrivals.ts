/** Requests of a deployment over time, drawn by the seed. */
import { createSeededRandom } from './seededRandom.js';
import { type Random } from '@snipehaven/common';
import type { DeploymentModel, TaskModel, TeamModel } from './deployments.js';
import { drawExponential, drawIndex, drawLogNormal, drawNormal } from './sampling.js';

export const HOUR_MS = 3_600_000;
export const DAY_MS = 24 * HOUR_MS;

/** One request as the world knows it. */
export interface RequestModel {
  readonly atMs: number;
  readonly team: TeamModel;
  readonly task: TaskModel;
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly difficulty: number;
  /** Seeds the draws of the answers, so that policies meet the same prompts. */
  readonly seed: number;
}

/** A time of higher load. */
export interface Burst {
  readonly fromMs: number;
  readonly toMs: number;
  readonly factor: number;
}

const PROMPT_DIFFICULTY_SPREAD = 0.6;
const TOKEN_SIGMA = 0.5;
const SEED_LIMIT = 2 ** 31 - 1;

/** Draws one prompt of a team's task. */
export const drawPrompt = (
  team: TeamModel,
  task: TaskModel,
  atMs: number,
  random: Random,
): RequestModel => ({
  atMs,
  team,
  task,
  promptTokens: Math.ceil(drawLogNormal(task.promptTokens, TOKEN_SIGMA, random)),
  completionTokens: Math.ceil(drawLogNormal(task.completionTokens, TOKEN_SIGMA, random)),
  difficulty:
    task.difficulty + team.difficultyOffset + PROMPT_DIFFICULTY_SPREAD * drawNormal(random),
  seed: random.nextInt(SEED_LIMIT),
});

const getRatePerMs = (
  deployment: DeploymentModel,
  atMs: number,
  bursts: readonly Burst[],
): number => {
  const hour = Math.floor((atMs % DAY_MS) / HOUR_MS);
  const total = deployment.hourlyRate.reduce((sum, rate) => sum + rate, 0);
  const base = (deployment.requestsPerDay * (deployment.hourlyRate[hour] ?? 0)) / total / HOUR_MS;
  const burst = bursts.find(({ fromMs, toMs }) => atMs >= fromMs && atMs < toMs);
  return base * (burst?.factor ?? 1);
};

/** All requests up to the end, in order of time. */
export const drawArrivals = (
  deployment: DeploymentModel,
  teams: readonly TeamModel[],
  untilMs: number,
  bursts: readonly Burst[],
  seed: number,
): readonly RequestModel[] => {
  const random = createSeededRandom(seed);
  const teamShares = teams.map(({ share }) => share);
  const taskShares = deployment.tasks.map(({ share }) => share);
  const requests: RequestModel[] = [];
  let atMs = 0;
  for (;;) {
    atMs += drawExponential(1 / getRatePerMs(deployment, atMs, bursts), random);
    if (atMs >= untilMs) {
      return requests;
    }
    const team = teams[drawIndex(teamShares, random)] as TeamModel;
    const task = deployment.tasks[drawIndex(taskShares, random)] as TaskModel;
    requests.push(drawPrompt(team, task, atMs, random));
  }
};

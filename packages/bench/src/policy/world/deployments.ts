/** Models of the two deployments: tasks, teams, and when requests arrive. */
import { createSeededRandom } from './seededRandom.js';
import { asId, type Random, type TeamId } from '@snipehaven/common';
import type { TeamChoiceSettings } from '@snipehaven/policy';
import { drawNormal } from './sampling.js';

/** A task of a deployment. */
export interface TaskModel {
  readonly task: string;
  readonly share: number;
  readonly promptTokens: number;
  readonly completionTokens: number;
  /** Mean difficulty of its prompts, on the scale of the versions' skill. */
  readonly difficulty: number;
  readonly deadlineMs: number;
  readonly isStrict: boolean;
}

/** A team with its streams of requests. */
export interface TeamModel {
  readonly team: TeamId;
  readonly share: number;
  readonly settings: Readonly<Record<string, TeamChoiceSettings>>;
  /** Its prompts are harder or easier than the task's mean. */
  readonly difficultyOffset: number;
}

/** A deployment's workload. */
export interface DeploymentModel {
  readonly name: string;
  readonly tasks: readonly TaskModel[];
  readonly requestsPerDay: number;
  /** Relative rate by hour of the day. */
  readonly hourlyRate: readonly number[];
  readonly daemonCount: number;
  readonly weights: TeamChoiceSettings['weights'];
  /** Highest and lowest quality target of its teams. */
  readonly targets: readonly [number, number];
}

const KOWALCZYK_HOURS = [9, 10, 10, 9, 7, 5, 6, 8, 6, 4, 3, 3, 3, 3, 3, 3, 3, 4, 4, 5, 6, 7, 8, 9];
const CAPROCK_HOURS = [1, 1, 1, 1, 1, 2, 4, 7, 9, 10, 10, 9, 8, 9, 10, 9, 8, 6, 4, 3, 2, 2, 1, 1];

const createTask = (
  task: string,
  share: number,
  tokens: readonly [number, number],
  difficulty: number,
  deadlineMs: number,
  isStrict = false,
): TaskModel => ({
  task,
  share,
  promptTokens: tokens[0],
  completionTokens: tokens[1],
  difficulty,
  deadlineMs,
  isStrict,
});

/** Bug tracking: much at night, cheap tags beside long summaries. */
export const kowalczyk: DeploymentModel = {
  name: 'kowalczyk',
  tasks: [
    createTask('summary', 0.25, [5_000, 350], 0.3, 60_000),
    createTask('triage', 0.35, [1_500, 220], 0.1, 30_000),
    createTask('tag', 0.4, [700, 20], -0.4, 15_000),
  ],
  requestsPerDay: 20_000,
  hourlyRate: KOWALCZYK_HOURS,
  daemonCount: 9,
  weights: { cost: 1, latency: 0.3, exposure: 0.2 },
  targets: [0.88, 0.74],
};

/** Permits and wells: office hours, strict reviews, quick look-ups. */
export const caprock: DeploymentModel = {
  name: 'caprock',
  tasks: [
    createTask('review', 0.15, [6_000, 900], 0.3, 300_000, true),
    createTask('wellLog', 0.3, [3_500, 300], 0.2, 60_000),
    createTask('lookup', 0.55, [400, 60], -0.4, 10_000),
  ],
  requestsPerDay: 12_000,
  hourlyRate: CAPROCK_HOURS,
  daemonCount: 8,
  weights: { cost: 0.6, latency: 0.1, exposure: 1 },
  targets: [0.9, 0.76],
};

const TEAM_COUNT = 10;
const DIFFICULTY_SPREAD = 0.12;

const createSettings = (
  deployment: DeploymentModel,
  task: TaskModel,
  index: number,
  random: Random,
): TeamChoiceSettings => {
  const [highest, lowest] = deployment.targets;
  return {
    qualityTarget: lowest + (highest - lowest) * random.next(),
    isStrict: task.isStrict,
    allowsCascade: index % 5 !== 4,
    allowsExploration: index % 4 !== 3,
    weights: deployment.weights,
  };
};

/** Ten teams, a few of them large, drawn by the seed. */
export const createTeams = (deployment: DeploymentModel, seed: number): readonly TeamModel[] => {
  const random = createSeededRandom(seed);
  return Array.from({ length: TEAM_COUNT }, (_, index) => ({
    team: asId<TeamId>(`team${index}`),
    share: 1 / (index + 1),
    difficultyOffset: DIFFICULTY_SPREAD * drawNormal(random),
    settings: Object.fromEntries(
      deployment.tasks.map((task) => [task.task, createSettings(deployment, task, index, random)]),
    ),
  }));
};

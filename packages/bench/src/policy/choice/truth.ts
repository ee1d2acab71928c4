/** What only the world and the clairvoyant bound know: the distributions of scores. */
import { createSeededRandom } from '../world/seededRandom.js';
import { drawPrompt } from '../world/arrivals.js';
import type { DeploymentModel, TaskModel, TeamModel } from '../world/deployments.js';
import { drawScore, versionModels } from '../world/versions.js';

/** Scores of all versions on the same prompts: `scores[version][prompt]`. */
export interface TrueScores {
  readonly scores: readonly Float64Array[];
}

const SAMPLE_COUNT = 4_000;

/** Draws the scores of one stream's prompts under each version. */
export const drawTrueScores = (team: TeamModel, task: TaskModel, seed: number): TrueScores => {
  const random = createSeededRandom(seed);
  const scores = versionModels.map(() => new Float64Array(SAMPLE_COUNT));
  for (let index = 0; index < SAMPLE_COUNT; index += 1) {
    const { difficulty } = drawPrompt(team, task, 0, random);
    versionModels.forEach((model, version) => {
      (scores[version] as Float64Array)[index] = drawScore(model.skill, difficulty, random);
    });
  }
  return { scores };
};

/** Mean of a version's scores. */
export const getMeanScore = (scores: Float64Array): number =>
  scores.reduce((sum, score) => sum + score, 0) / scores.length;

/** The distance that a feasible target keeps below the best version's mean. */
const FEASIBLE_MARGIN = 0.02;

const getBestMean = (truth: TrueScores): number => Math.max(...truth.scores.map(getMeanScore));

/** A deployment's teams with everything that is true of them. */
export interface TeamTruth {
  readonly team: TeamModel;
  readonly byTask: Readonly<Record<string, TrueScores>>;
}

const lowerTargets = (
  team: TeamModel,
  byTask: Readonly<Record<string, TrueScores>>,
): TeamModel => ({
  ...team,
  settings: Object.fromEntries(
    Object.entries(team.settings).map(([task, settings]) => {
      const best = getBestMean(byTask[task] as TrueScores);
      const qualityTarget = Math.min(settings.qualityTarget, best - FEASIBLE_MARGIN);
      return [task, { ...settings, qualityTarget }];
    }),
  ),
});

/** Draws the truth of each team, and lowers targets that no version can meet. */
export const drawTeamTruths = (
  deployment: DeploymentModel,
  teams: readonly TeamModel[],
  seed: number,
): readonly TeamTruth[] =>
  teams.map((team, teamIndex) => {
    const byTask = Object.fromEntries(
      deployment.tasks.map((task, taskIndex) => [
        task.task,
        drawTrueScores(team, task, seed * 1_000 + teamIndex * 10 + taskIndex),
      ]),
    );
    return { team: lowerTargets(team, byTask), byTask };
  });

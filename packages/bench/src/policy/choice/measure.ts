/** Figures of a run of model choice. */
import type { TeamModel } from '../world/deployments.js';
import { createLatencyHistogram, getPercentileMs } from '../world/histogram.js';
import { createRow, type BenchRow } from '../types.js';
import { getStreamId } from './clairvoyant.js';
import type { RequestResult } from './simulateChoice.js';

/** One stream's answers. */
interface StreamFigures {
  readonly team: string;
  readonly answerCount: number;
  readonly meanScore: number;
  readonly isAtTarget: boolean;
}

/** A stream misses its target if its mean lies more than this many standard errors below. */
const TOLERATED_ERRORS = 2;

const measureStream = (
  team: TeamModel,
  task: string,
  results: readonly RequestResult[],
): StreamFigures => {
  const answerCount = results.length;
  const meanScore = results.reduce((sum, { score }) => sum + score, 0) / answerCount;
  const squares = results.reduce((sum, { score }) => sum + (score - meanScore) ** 2, 0);
  const standardError = Math.sqrt(squares) / answerCount;
  const target = team.settings[task]?.qualityTarget ?? 1;
  return {
    team: team.team,
    answerCount,
    meanScore,
    isAtTarget: meanScore + TOLERATED_ERRORS * standardError >= target,
  };
};

const groupByStream = (results: readonly RequestResult[]): readonly RequestResult[][] => {
  const streams = new Map<string, RequestResult[]>();
  results.forEach((result) => {
    const id = getStreamId(result.request.team.team, result.request.task.task);
    const stream = streams.get(id) ?? [];
    stream.push(result);
    streams.set(id, stream);
  });
  return [...streams.values()];
};

const measureStreams = (results: readonly RequestResult[]): readonly StreamFigures[] =>
  groupByStream(results).map((stream) => {
    const { request } = stream[0]!;
    return measureStream(request.team, request.task.task, stream);
  });

const getTeamsAtTargetPct = (streams: readonly StreamFigures[]): number => {
  const teams = new Set(streams.map(({ team }) => team));
  const missing = new Set(streams.filter((stream) => !stream.isAtTarget).map(({ team }) => team));
  return (100 * (teams.size - missing.size)) / teams.size;
};

const getLatencyMs = (result: RequestResult): number => result.finishedAtMs - result.request.atMs;

const isInTime = (result: RequestResult): boolean =>
  getLatencyMs(result) <= result.request.task.deadlineMs;

/** The row of one run, over the requests of the measured time. */
export const measureChoice = (
  scenario: string,
  policy: string,
  results: readonly RequestResult[],
  requestCount: number,
): BenchRow => {
  const histogram = createLatencyHistogram();
  results.forEach((result) => histogram.recordValue(Math.round(getLatencyMs(result))));
  const streams = measureStreams(results);
  const atTarget = streams.filter((stream) => stream.isAtTarget);
  const answersAtTarget = atTarget.reduce((sum, { answerCount }) => sum + answerCount, 0);
  const cost = results.reduce((sum, { costMicroUsd }) => sum + costMicroUsd, 0);
  return createRow(scenario, policy, {
    costPerAnswerAtTarget: answersAtTarget === 0 ? null : cost / answersAtTarget,
    teamsAtTargetPct: getTeamsAtTargetPct(streams),
    p50Ms: getPercentileMs(histogram, 50),
    p95Ms: getPercentileMs(histogram, 95),
    goodputPct: (100 * results.filter(isInTime).length) / requestCount,
  });
};

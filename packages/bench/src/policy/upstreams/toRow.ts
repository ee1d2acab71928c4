/** Turns the results of a run into a row. */
import { WARM_UP_MS } from './constants.js';
import { getJainIndex, getPercentile } from './measures.js';
import { createRow } from '../types.js';
import type { BenchRow } from '../types.js';
import type { PoolSetup, RequestResult } from './types.js';

const isGood = ({ kind, request, endedAtMs }: RequestResult): boolean =>
  kind === 'answered' && endedAtMs <= request.deadlineAtMs;

const round = (value: number | undefined, digits: number): number | null =>
  value === undefined ? null : Number(value.toFixed(digits));

/** Whole answers in time, per second of the run after the warm-up. */
const getGoodPerSecond = (results: readonly RequestResult[], setup: PoolSetup): number =>
  (results.filter(isGood).length * 1_000) / (setup.durationMs - WARM_UP_MS);

/** What the pool could have answered: its capacity, or the offered load where that is less. */
const getPossiblePerSecond = (results: readonly RequestResult[], setup: PoolSetup): number => {
  const offered = results.filter(({ request }) => request.returns === 0).length;
  return Math.min(setup.capacityPerSecond, (offered * 1_000) / (setup.durationMs - WARM_UP_MS));
};

/** A team's answers, of what it asked for or its fair share of the capacity if that is less. */
const getTeamShare = (
  team: string,
  results: readonly RequestResult[],
  setup: PoolSetup,
): number => {
  const own = results.filter(({ request }) => request.team === team);
  const offered = own.filter(({ request }) => request.returns === 0).length;
  const seconds = (setup.durationMs - WARM_UP_MS) / 1_000;
  const fair = (setup.capacityPerSecond * seconds) / setup.teams.length;
  return offered === 0 ? 1 : own.filter(isGood).length / Math.min(offered, fair);
};

/**
 * The row of one run: time to the first token from the arrival on, waiting and retries included;
 * whole answers in time, of what the pool could have answered; Jain's index of the teams' shares.
 * `measuredTeams` limits the latency figures; all teams if left out.
 */
export const toRow = (
  scenario: string,
  policy: string,
  setup: PoolSetup,
  all: readonly RequestResult[],
  measuredTeams?: readonly string[],
): BenchRow => {
  const results = all.filter(({ request }) => request.arrivedAtMs >= WARM_UP_MS);
  const times = results
    .filter(({ request }) => measuredTeams?.includes(request.team) ?? true)
    .flatMap(({ firstTokenMs }) => firstTokenMs ?? []);
  const shares = setup.teams.map(({ team }) => Math.min(1, getTeamShare(team, results, setup)));
  const goodput = getGoodPerSecond(results, setup) / getPossiblePerSecond(results, setup);
  return createRow(scenario, policy, {
    p50Ms: round(getPercentile(times, 0.5), 1),
    p95Ms: round(getPercentile(times, 0.95), 1),
    goodputPct: round(goodput * 100, 1),
    fairness: round(getJainIndex(shares), 4),
  });
};

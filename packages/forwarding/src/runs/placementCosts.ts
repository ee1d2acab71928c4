/** Costs of the location and load of a service's upstreams, for choosing among them. */
import { getLeaveMs, type ModelPartition, type WorkPace } from '@snipehaven/policy';
import type { ForwardRoute } from '../types.js';
import type { UpstreamEntry } from '../upstreams/index.js';
import type { ForwardDependencies } from './dependencies.js';

/**
 * Penalty for a plain service's upstream in another data centre, in requests: half the slots of a
 * small service.
 */
const PLAIN_REMOTE_PENALTY = 3;

/**
 * Engine time charged per ms of round trip to another data centre: distance adds cost and makes a
 * network failure likelier. At round trips of 1 to 3 ms this is less than the largest model takes
 * for a shared prompt part and more than the smallest one takes. A constant in tokens would not
 * suit engines of different speeds.
 */
const REMOTE_MS_PER_ROUND_TRIP_MS = 25;

/**
 * Assumed until a connection to another data centre has been measured: a neighbour in the same
 * region.
 */
const DEFAULT_ROUND_TRIP_MS = 2;

/**
 * Shortest round trip to the upstreams of each data centre in ms; Infinity before the first
 * connection.
 */
const getShortestRoundTrips = (entries: readonly UpstreamEntry[]): ReadonlyMap<string, number> => {
  const roundTrips = new Map<string, number>();
  for (const { upstream, pool } of entries) {
    const { dataCentre } = upstream;
    const known = roundTrips.get(dataCentre) ?? Infinity;
    roundTrips.set(dataCentre, Math.min(known, pool.roundTripMs ?? Infinity));
  }
  return roundTrips;
};

/** Cost of the network distance to the upstream, in the unit of its backlog. */
type GetRemotePenalty = (entry: UpstreamEntry) => number;

const isLocal = ({ localDataCentre }: ForwardDependencies, { upstream }: UpstreamEntry): boolean =>
  upstream.dataCentre === localDataCentre;

const createPlainPenalty =
  (dependencies: ForwardDependencies): GetRemotePenalty =>
  (entry) =>
    isLocal(dependencies, entry) ? 0 : PLAIN_REMOTE_PENALTY;

const createEnginePenalty = (
  dependencies: ForwardDependencies,
  pace: WorkPace,
  entries: readonly UpstreamEntry[],
): GetRemotePenalty => {
  // Computed per data centre, not per upstream: each estimate aggregates the samples of all daemons.
  const penalties = new Map<string, number>();
  for (const [dataCentre, measuredMs] of getShortestRoundTrips(entries)) {
    const roundTripMs = Number.isFinite(measuredMs) ? measuredMs : DEFAULT_ROUND_TRIP_MS;
    penalties.set(dataCentre, pace.estimateWork(REMOTE_MS_PER_ROUND_TRIP_MS * roundTripMs));
  }
  return (entry) =>
    isLocal(dependencies, entry) ? 0 : (penalties.get(entry.upstream.dataCentre) ?? 0);
};

/** The part of a placement query that the costs depend on. */
interface EnginePlacementQuery {
  readonly service: string;
  readonly route: ForwardRoute;
  readonly model: string | undefined;
}

/**
 * Inputs to the upstream choice that depend on the location and load of the service's upstreams.
 */
export interface PlacementCosts {
  readonly getRemotePenalty: GetRemotePenalty;
  readonly leavePenalty: number;
  readonly lane?: ModelPartition;
}

/** Candidate upstreams and their mean backlog. */
export interface CandidateLoad {
  readonly entries: readonly UpstreamEntry[];
  readonly meanBacklog: number;
}

export const getMeanBacklog = (entries: readonly UpstreamEntry[]): number =>
  entries.reduce((sum, { backlog }) => sum + backlog, 0) / Math.max(1, entries.length);

/** For engines; penalties are converted to work by the measured speed. */
export const getEnginePlacementCosts = (
  dependencies: ForwardDependencies,
  { service, route, model }: EnginePlacementQuery,
  { entries, meanBacklog }: CandidateLoad,
): PlacementCosts => {
  const pace = dependencies.getWorkPace(service);
  const meanWaitMs = pace.estimateMs(meanBacklog);
  const demand = dependencies.getModelDemand(service);
  const lane = model === undefined ? undefined : demand.findPartition(route.models, model);
  return {
    getRemotePenalty: createEnginePenalty(dependencies, pace, entries),
    leavePenalty: pace.estimateWork(getLeaveMs(meanWaitMs)),
    ...(lane === undefined ? {} : { lane }),
  };
};

/** For plain services, which process no prompts and have no models. */
export const getPlainPlacementCosts = (dependencies: ForwardDependencies): PlacementCosts => ({
  getRemotePenalty: createPlainPenalty(dependencies),
  leavePenalty: 0,
});

/** Where a service's upstreams are and how busy, as far as it counts in choosing one. */
import { getLeaveMs, type Lane, type WorkPace } from '@snipehaven/policy';
import type { ForwardRoute } from '../types.js';
import type { UpstreamEntry } from '../upstreams/index.js';
import type { ForwardDependencies } from './dependencies.js';

/** Half of a small service's places. */
const PLAIN_REMOTE_PENALTY = 3;

/**
 * Each ms of the round trip to another data centre counts as this much of an engine's time: the farther
 * bytes go the more they cost, and the likelier the way there fails. At 1 to 3 ms that is less than the
 * largest model takes for a shared part and more than the smallest one does. In tokens no constant fits
 * engines of unlike pace.
 */
const REMOTE_MS_PER_ROUND_TRIP_MS = 25;

/** Until a connection to another data centre was made: a neighbour in the same region. */
const DEFAULT_ROUND_TRIP_MS = 2;

/** In ms to each data centre, by the nearest of its upstreams; Infinity before a connection was made. */
const getShortestRoundTrips = (entries: readonly UpstreamEntry[]): ReadonlyMap<string, number> => {
  const roundTrips = new Map<string, number>();
  for (const { upstream, pool } of entries) {
    const { dataCentre } = upstream;
    const known = roundTrips.get(dataCentre) ?? Infinity;
    roundTrips.set(dataCentre, Math.min(known, pool.roundTripMs ?? Infinity));
  }
  return roundTrips;
};

/** What the way to the upstream costs, in its backlog's unit. */
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
  // Once a data centre, not once an upstream: each estimate adds up what the whole fleet learned.
  const penalties = new Map<string, number>();
  for (const [dataCentre, measuredMs] of getShortestRoundTrips(entries)) {
    const roundTripMs = Number.isFinite(measuredMs) ? measuredMs : DEFAULT_ROUND_TRIP_MS;
    penalties.set(dataCentre, pace.estimateWork(REMOTE_MS_PER_ROUND_TRIP_MS * roundTripMs));
  }
  return (entry) =>
    isLocal(dependencies, entry) ? 0 : (penalties.get(entry.upstream.dataCentre) ?? 0);
};

/** As much of a place's question as concerns its surroundings. */
interface EnginePlacementQuery {
  readonly service: string;
  readonly route: ForwardRoute;
  readonly model: string | undefined;
}

/** What depends on where the service's upstreams are and how busy. */
export interface PlacementCosts {
  readonly getRemotePenalty: GetRemotePenalty;
  readonly leavePenalty: number;
  readonly lane?: Lane;
}

/** The upstreams that a request may go to, and the work at one of them in the mean. */
export interface CandidateLoad {
  readonly entries: readonly UpstreamEntry[];
  readonly meanBacklog: number;
}

export const getMeanBacklog = (entries: readonly UpstreamEntry[]): number =>
  entries.reduce((sum, { backlog }) => sum + backlog, 0) / Math.max(1, entries.length);

/** Of engines. */
export const getEnginePlacementCosts = (
  dependencies: ForwardDependencies,
  { service, route, model }: EnginePlacementQuery,
  { entries, meanBacklog }: CandidateLoad,
): PlacementCosts => {
  const pace = dependencies.getWorkPace(service);
  const meanWaitMs = pace.estimateMs(meanBacklog);
  const demand = dependencies.getModelDemand(service);
  const lane = model === undefined ? undefined : demand.findLane(route.models, model);
  return {
    getRemotePenalty: createEnginePenalty(dependencies, pace, entries),
    leavePenalty: pace.estimateWork(getLeaveMs(meanWaitMs)),
    ...(lane === undefined ? {} : { lane }),
  };
};

/** Of plain services, which read no prompts and have no models. */
export const getPlainPlacementCosts = (dependencies: ForwardDependencies): PlacementCosts => ({
  getRemotePenalty: createPlainPenalty(dependencies),
  leavePenalty: 0,
});

/** Lists the upstreams that a request may be sent to now, and how long to wait if there is none. */
import type { GateContext, HoldOff, UpstreamEntry, UpstreamGate } from '../upstreams/index.js';
import type { ForwardDependencies } from './dependencies.js';
import type { PlacementQuery } from './placementQuery.js';

const listAllowed = (
  { directory, rollouts }: ForwardDependencies,
  { service, options }: PlacementQuery,
): readonly UpstreamEntry[] =>
  rollouts.filterUpstreams(service, options, directory.listReady(service));

const getGateContext = (
  { configuration }: ForwardDependencies,
  { service }: PlacementQuery,
  nowMs: number,
): GateContext => ({ warmUp: configuration.table?.findService(service)?.warmUp, nowMs });

/** The upstreams to choose from for one attempt. */
export interface Candidates {
  readonly entries: readonly UpstreamEntry[];
  /** Number of allowed upstreams that the gate holds off. */
  readonly heldOffCount: number;
}

/**
 * Returns none when all upstreams believed healthy are held off by the gate: the request is then
 * refused instead of being lost on an upstream believed dead.
 */
export const listCandidates = (
  dependencies: ForwardDependencies,
  query: PlacementQuery,
  nowMs: number,
): Candidates => {
  const allowed = listAllowed(dependencies, query);
  const context = getGateContext(dependencies, query, nowMs);
  const ready = allowed.filter(
    (entry) =>
      !query.fullUpstreams.has(entry.lifeId) && dependencies.upstreamGate.admits(entry, context),
  );
  const heldOffCount = allowed.length - ready.length;
  const isSound = (entry: UpstreamEntry): boolean => !entry.isSuspect(nowMs);
  if (heldOffCount > 0 && allowed.some(isSound) && !ready.some(isSound)) {
    return { entries: [], heldOffCount };
  }
  const unused = ready.filter((entry) => !query.usedUpstreams.has(entry.lifeId));
  return { entries: unused.length > 0 ? unused : ready, heldOffCount };
};

/** Whether a request that has got a place at the upstream may be sent there. */
export const isStillOpen = (
  dependencies: ForwardDependencies,
  query: PlacementQuery,
  entry: UpstreamEntry,
): boolean => {
  const context = getGateContext(dependencies, query, performance.now());
  return (
    listAllowed(dependencies, query).includes(entry) &&
    dependencies.upstreamGate.admitsWithPlace(entry, context)
  );
};

/** Time in ms until the session expires, if its version is evacuated; undefined otherwise. */
export const findSessionExpiryWait = (
  { directory, rollouts }: ForwardDependencies,
  { service, options }: PlacementQuery,
): number | undefined =>
  rollouts.findSessionExpiryWaitMs(service, options, directory.listReady(service));

/** The shortest time until an allowed upstream accepts a request; undefined if none is held off. */
export const findHoldOff = (
  dependencies: ForwardDependencies,
  query: PlacementQuery,
): HoldOff | undefined =>
  dependencies.upstreamGate.findShortest(
    listAllowed(dependencies, query),
    getGateContext(dependencies, query, performance.now()),
  );

/** Number of allowed upstreams that the gate holds off, by reason. */
export const countHeldOff = (
  dependencies: ForwardDependencies,
  query: PlacementQuery,
): ReturnType<UpstreamGate['count']> =>
  dependencies.upstreamGate.count(
    listAllowed(dependencies, query),
    getGateContext(dependencies, query, performance.now()),
  );

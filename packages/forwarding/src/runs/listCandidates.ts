/** Lists the upstreams that a request may be sent to now, and how long to wait if there is none. */
import type { UpstreamEntry } from '../upstreams/index.js';
import type { ForwardDependencies } from './dependencies.js';
import type { PlacementQuery } from './placementQuery.js';

const listAllowed = (
  { directory, rollouts }: ForwardDependencies,
  { service, options }: PlacementQuery,
): readonly UpstreamEntry[] =>
  rollouts.filterUpstreams(service, options, directory.listReady(service));

/**
 * Returns none when all upstreams believed healthy are cold and at their limit: the request is then
 * refused instead of being lost on an upstream believed dead.
 */
export const listCandidates = (
  dependencies: ForwardDependencies,
  query: PlacementQuery,
  nowMs: number,
): readonly UpstreamEntry[] => {
  const { configuration, coldGate } = dependencies;
  const allowed = listAllowed(dependencies, query);
  const warmUp = configuration.table?.findService(query.service)?.warmUp;
  const ready = allowed.filter((entry) => coldGate.admits(entry, warmUp, nowMs));
  const isSound = (entry: UpstreamEntry): boolean => !entry.isSuspect(nowMs);
  if (ready.length < allowed.length && allowed.some(isSound) && !ready.some(isSound)) {
    return [];
  }
  const unused = ready.filter((entry) => !query.usedUpstreams.has(entry.lifeId));
  return unused.length > 0 ? unused : ready;
};

/** Time in ms until the session expires, if its version is evacuated; undefined otherwise. */
export const findSessionExpiryWait = (
  { directory, rollouts }: ForwardDependencies,
  { service, options }: PlacementQuery,
): number | undefined =>
  rollouts.findSessionExpiryWaitMs(service, options, directory.listReady(service));

/**
 * Time in ms until a cold upstream accepts one more request; undefined if none of the allowed
 * upstreams is cold.
 */
export const findWarmUpWait = (
  dependencies: ForwardDependencies,
  query: PlacementQuery,
): number | undefined => {
  const { configuration, coldGate } = dependencies;
  const warmUp = configuration.table?.findService(query.service)?.warmUp;
  return warmUp && coldGate.getWaitMs(listAllowed(dependencies, query), warmUp, performance.now());
};

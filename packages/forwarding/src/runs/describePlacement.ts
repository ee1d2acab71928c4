/** Log fields of a placement: the upstream chosen and the state on which the choice was based. */
import type { ForwardDependencies } from './dependencies.js';
import type { RequestPlacement } from './findPlacement.js';
import { countHeldOff } from './listCandidates.js';
import type { PlacementQuery } from './placementQuery.js';
import { roundMs } from './responseTiming.js';
import type { UpstreamEntry } from '../upstreams/index.js';

const getAgeMs = (sinceMs: number | undefined): number | undefined =>
  sinceMs === undefined ? undefined : performance.now() - sinceMs;

/** Undefined unless the upstream is known to turn few requests away. */
const describeBrittleness = (
  { brittle, places }: ForwardDependencies,
  entry: UpstreamEntry,
  { fullUpstreams }: PlacementQuery,
) => {
  const rejectionsPerS = brittle.getRejectionsPerS(entry);
  return rejectionsPerS === undefined
    ? undefined
    : {
        rejectionsPerS,
        slots: entry.upstream.slots,
        held: places.countHeld(entry),
        others: entry.requests - entry.ownLoad.requests,
        full: fullUpstreams.size,
      };
};

export const describePlacement = (
  dependencies: ForwardDependencies,
  { entry, startWork, workAhead, heldOffCount }: RequestPlacement,
  query: PlacementQuery,
) => {
  const { configuration, getWorkPace, rollouts } = dependencies;
  const { service, options, model } = query;
  const lastRun = rollouts.findSessionRun(service, options);
  return {
    upstream: entry.id,
    backlog: Math.round(entry.backlog),
    isCold: entry.cold.isCold(performance.now()) || undefined,
    leavingForMs: roundMs(getAgeMs(entry.statements.leavingSinceMs)),
    rateLimitPerS: entry.rateLimit.requestsPerS,
    brittle: describeBrittleness(dependencies, entry, query),
    heldOff: heldOffCount > 0 ? countHeldOff(dependencies, query) : undefined,
    requests: entry.requests,
    startWork: Math.round(startWork),
    expectedMs: roundMs(getWorkPace(service).estimateStartMs(workAhead)),
    version: entry.upstream.softwareVersion,
    session: options.session,
    sessionRanOn: lastRun?.softwareVersion,
    sessionRanAgoMs: lastRun && Math.round(performance.now() - lastRun.atMs),
    rollout: rollouts.findObservedRollout(service),
    model,
    promptTokens: options.promptTokens,
    maxOutputTokens: options.maxOutputTokens,
    configuration: configuration.table?.configuration.version,
    configurationAgeMs: Math.round(configuration.freshness.ageMs),
  };
};

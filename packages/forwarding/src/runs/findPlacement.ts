/** Chooses the upstream for a request from the entries of the directory. */
import type { RequestDigest } from '@snipehaven/common';
import {
  choosePlacement,
  chooseSuspectUpstream,
  type PlacementCandidate,
} from '@snipehaven/policy';
import type { UpstreamEntry } from '../upstreams/index.js';
import type { ForwardDependencies } from './dependencies.js';
import { estimateWork } from './estimateWork.js';
import { listCandidates } from './listCandidates.js';
import type { PlacementQuery } from './placementQuery.js';
import {
  getMeanBacklog,
  getEnginePlacementCosts,
  getPlainPlacementCosts,
} from './placementCosts.js';

export interface RequestPlacement {
  readonly entry: UpstreamEntry;
  /** Work until the answer begins; `runWork` from then to its end. See `Work`. */
  readonly startWork: number;
  readonly runWork: number;
  /** Work at the upstream until the answer begins, including the request's own. */
  readonly workAhead: number;
  /** Mean backlog of the candidate upstreams. */
  readonly meanBacklog: number;
  /** Number of upstreams that were left out as they accept no requests at present. */
  readonly heldOffCount: number;
}

const toCandidate = (
  entry: UpstreamEntry,
  remotePenalty: number,
  nowMs: number,
): PlacementCandidate => ({
  id: entry.id,
  dataCentre: entry.upstream.dataCentre,
  remotePenalty,
  backlog: entry.backlog,
  requests: entry.requests,
  occupancy: entry.requests / entry.upstream.slots,
  failureShare: entry.failureShare,
  isSuspect: entry.isSuspect(nowMs),
});

/**
 * Identifies the longest prompt prefix shared with other requests, and the model that is to process
 * it.
 */
const getAffinityKey = ({ options, model }: PlacementQuery): string | undefined => {
  const shared = options.promptParts.at(-2);
  return shared === undefined ? undefined : `${model ?? ''}|${shared.id}`;
};

/** Undefined when all upstreams are believed dead: the request is then placed like any other. */
const findEntryForSuspectRequest = (
  digest: RequestDigest,
  entries: readonly UpstreamEntry[],
  nowMs: number,
): UpstreamEntry | undefined => {
  const sound = entries.filter((entry) => !entry.isSuspect(nowMs));
  const chosen = chooseSuspectUpstream(
    digest,
    sound.map(({ lifeId }) => lifeId),
  );
  return sound.find(({ lifeId }) => lifeId === chosen);
};

export const findPlacement = (
  dependencies: ForwardDependencies,
  query: PlacementQuery,
): RequestPlacement | undefined => {
  const { directory, random, configuration } = dependencies;
  const { service, route, options, model } = query;
  const nowMs = performance.now();
  const { entries, heldOffCount } = listCandidates(dependencies, query, nowMs);
  const meanBacklog = getMeanBacklog(entries);
  const pool = configuration.table?.findService(service);
  const work = estimateWork(route, pool, options, model);
  const isEngine = route.kind === 'stream' && pool?.engine !== undefined;
  const affinityKey = getAffinityKey(query);
  const { getRemotePenalty, ...surroundings } = isEngine
    ? getEnginePlacementCosts(dependencies, query, { entries, meanBacklog })
    : getPlainPlacementCosts(dependencies);
  const choice = choosePlacement({
    candidates: entries.map((entry) => toCandidate(entry, getRemotePenalty(entry), nowMs)),
    sharedWork: work.shared,
    ownWork: work.own,
    random: random.next(),
    ...surroundings,
    ...(affinityKey === undefined ? {} : { affinityKey }),
  });
  const suspectEntry =
    query.suspectDigest === undefined
      ? undefined
      : findEntryForSuspectRequest(query.suspectDigest, entries, nowMs);
  const entry = suspectEntry ?? (choice && directory.find(choice.id));
  if (choice === undefined || entry === undefined) {
    return undefined;
  }
  const isOwner = choice.isOwner && entry.id === choice.id;
  const startWork = work.own + (isOwner ? 0 : work.shared);
  return {
    entry,
    startWork,
    runWork: work.running,
    workAhead: entry.backlog + startWork,
    meanBacklog,
    heldOffCount,
  };
};

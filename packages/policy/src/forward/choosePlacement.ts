/**
 * Chooses the upstream for one attempt: the one where the answer is expected to start first.
 * Designed for long prompts with shared parts. The backlog of an upstream, over all daemons, is
 * measured in tokens instead of requests, because one prompt may be 80 times as long as another.
 * Prefilling a part that the upstream has not cached is added, and so is a penalty for other data
 * centres, for the bytes in between. While upstreams are busy, those of other models' partitions
 * have a penalty as well.
 */
import { getAffinityWeight, hashAffinityKey } from '../upstreamChoice/affinity/affinityHash.js';
import { listPartition, type ModelPartition } from './modelPartitions.js';

export interface PlacementCandidate {
  readonly id: string;
  readonly dataCentre: string;
  /** Cost of the path to the upstream's data centre, 0 for the local one; in the backlog's unit. */
  readonly remotePenalty: number;
  /** Work ahead of a new request, over all daemons as far as known. */
  readonly backlog: number;
  /** Number of requests at the upstream. */
  readonly requests: number;
  /** Used slots as a fraction of the upstream's slots. */
  readonly occupancy: number;
  /** Recent failure rate, from 0 to 1. */
  readonly failureShare: number;
  /** Considered dead, or missing from the list of upstreams for reasons that may be the list's own. */
  readonly isSuspect: boolean;
}

export interface PlacementInput {
  readonly candidates: readonly PlacementCandidate[];
  /** Equal for requests whose prompts share parts. */
  readonly affinityKey?: string;
  /** Work of prefilling the shared parts where they are not cached; in the backlog's unit. */
  readonly sharedWork: number;
  /** Work that the request itself adds; in the backlog's unit. */
  readonly ownWork: number;
  /** Penalty of an upstream outside the model's partition; in the backlog's unit. */
  readonly leavePenalty: number;
  /**
   * Partition of the upstreams that is assigned to the request's model; unset means all upstreams.
   */
  readonly lane?: ModelPartition;
  /** Uniform in [0, 1). */
  readonly random: number;
}

export interface Placement {
  readonly id: string;
  /** Whether the upstream is expected to have the shared parts cached. */
  readonly isOwner: boolean;
}

/** Failure rates below this are caused by the requests as often as by the upstream. */
const USUAL_FAILURE_SHARE = 0.2;

/**
 * Penalty for failures beyond the usual rate, as a multiple of the request's own work. An upstream
 * that fails four in ten requests counts as if four more such requests were queued there.
 */
const FAILURE_PENALTY_FACTOR = 20;

/**
 * Prefilling a prompt delays each answer that the upstream is decoding. Each delayed answer counts
 * as this fraction of the request's own wait, so the longest prompts go where few answers run.
 */
const INTERFERENCE_FACTOR = 0.15;

/**
 * When all slots are used, a request waits for one to be released, as if several more requests were
 * ahead.
 */
const FULL_OCCUPANCY = 0.95;
const FULL_PENALTY_FACTOR = 8;

/** Backlogs that differ by less than this fraction of the request's own work count as equal. */
const TIE_SHARE = 0.05;

/** Group key used in place of a data centre's name. */
const NEARBY_DATA_CENTRES = '';

/**
 * Returns the owners of the shared parts: one among all upstreams whose path costs less than the
 * prefill, and one in each data centre beyond. With one owner in each data centre, prompts would be
 * prefilled as many times.
 */
const findOwners = (input: PlacementInput, partition: ReadonlySet<string>): ReadonlySet<string> => {
  const owners = new Map<string, { readonly id: string; readonly weight: number }>();
  if (input.affinityKey !== undefined) {
    const hash = hashAffinityKey(input.affinityKey);
    for (const { id, dataCentre, remotePenalty } of input.candidates) {
      const weight = getAffinityWeight(hash, id);
      const cacheGroup = remotePenalty < input.sharedWork ? NEARBY_DATA_CENTRES : dataCentre;
      if (partition.has(id) && weight > (owners.get(cacheGroup)?.weight ?? -1)) {
        owners.set(cacheGroup, { id, weight });
      }
    }
  }
  return new Set([...owners.values()].map(({ id }) => id));
};

interface CandidateRole {
  readonly isOwner: boolean;
  readonly isInPartition: boolean;
}

const getCost = (
  candidate: PlacementCandidate,
  { isOwner, isInPartition }: CandidateRole,
  input: PlacementInput,
): number => {
  const work = input.ownWork + input.sharedWork;
  const prefillWork = input.ownWork + (isOwner ? 0 : input.sharedWork);
  const excessFailureShare = Math.max(0, candidate.failureShare - USUAL_FAILURE_SHARE);
  const isFull = candidate.occupancy >= FULL_OCCUPANCY;
  return (
    candidate.backlog +
    prefillWork * (1 + INTERFERENCE_FACTOR * candidate.requests) +
    candidate.remotePenalty +
    (isInPartition ? 0 : input.leavePenalty) +
    work *
      (excessFailureShare * FAILURE_PENALTY_FACTOR +
        (isFull ? FULL_PENALTY_FACTOR * candidate.occupancy : 0))
  );
};

const listUnsuspected = (
  candidates: readonly PlacementCandidate[],
): readonly PlacementCandidate[] => {
  const unsuspected = candidates.filter((candidate) => !candidate.isSuspect);
  return unsuspected.length > 0 ? unsuspected : candidates;
};

/** Undefined when there are no candidates. */
export const choosePlacement = (input: PlacementInput): Placement | undefined => {
  const unsuspected = listUnsuspected(input.candidates);
  const ids = unsuspected.map(({ id }) => id);
  const partition = listPartition(ids, input.lane);
  const owners = findOwners(input, partition);
  const tieThreshold = (input.ownWork + input.sharedWork) * TIE_SHARE;
  const offset = Math.floor(input.random * unsuspected.length);
  let best: PlacementCandidate | undefined;
  let bestCost = Infinity;
  for (let index = 0; index < unsuspected.length; index += 1) {
    const candidate = unsuspected[(index + offset) % unsuspected.length];
    if (candidate !== undefined) {
      const role = {
        isOwner: owners.has(candidate.id),
        isInPartition: partition.has(candidate.id),
      };
      const cost = getCost(candidate, role, input);
      if (cost < bestCost - tieThreshold) {
        best = candidate;
        bestCost = cost;
      }
    }
  }
  return best && { id: best.id, isOwner: owners.has(best.id) };
};

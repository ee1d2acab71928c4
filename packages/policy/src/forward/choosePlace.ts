/**
 * Chooses the upstream for one attempt. Answers the load of long prompts that share parts: requests of
 * one subject go to the upstream that has read the shared part, unless it is much busier than the
 * others; the rest go to the least busy one. Bytes between data centres cost, so another data
 * centre is used only when no local upstream has room.
 */
import { getAffinityWeight, hashAffinityKey } from '../upstreamChoice/affinity/affinityHash.js';

export interface PlaceCandidate {
  readonly id: string;
  readonly dataCentre: string;
  /** Work in flight as a share of what the upstream runs at once; above 1 it queues. */
  readonly load: number;
  /** Recent share of failures, 0 to 1. */
  readonly failureShare: number;
  /** Thought dead, or gone from the list for reasons that may be the list's own. */
  readonly isSuspect: boolean;
}

export interface PlaceInput {
  readonly candidates: readonly PlaceCandidate[];
  readonly localDataCentre: string;
  /** What requests have in common whose prompts share parts. */
  readonly affinityKey?: string;
  /** Uniform in [0, 1). */
  readonly random: number;
}

/** A subject's owner may be this much busier than the mean, as a factor and as a share of its places. */
const OWNER_LOAD_FACTOR = 1.3;
const OWNER_LOAD_SLACK = 0.08;

/** Local upstreams busier than this share of their places hand new work to other data centres. */
const SPILL_LOAD = 0.85;

/** What a failing upstream's load counts more: at 40% failures it looks 3 times as busy. */
const FAILURE_WEIGHT = 5;
const FAILURE_BASE = 0.1;

/** Failure shares below this are the requests' own fault as often as the upstream's. */
const USUAL_FAILURE_SHARE = 0.2;

const getCost = ({ load, failureShare }: PlaceCandidate): number => {
  const excess = Math.max(0, failureShare - USUAL_FAILURE_SHARE);
  return (load + FAILURE_BASE * Math.sign(excess)) * (1 + FAILURE_WEIGHT * excess);
};

const findOwner = (
  key: string,
  candidates: readonly PlaceCandidate[],
): PlaceCandidate | undefined => {
  const mean = candidates.reduce((sum, one) => sum + getCost(one), 0) / candidates.length;
  const bound = mean * OWNER_LOAD_FACTOR + OWNER_LOAD_SLACK;
  const hash = hashAffinityKey(key);
  let owner: PlaceCandidate | undefined;
  let ownerWeight = -1;
  for (const candidate of candidates) {
    const weight = getAffinityWeight(hash, candidate.id);
    if (weight > ownerWeight && getCost(candidate) <= bound) {
      owner = candidate;
      ownerWeight = weight;
    }
  }
  return owner;
};

const findLeastLoaded = (
  candidates: readonly PlaceCandidate[],
  random: number,
): PlaceCandidate | undefined => {
  const offset = Math.floor(random * candidates.length);
  let best: PlaceCandidate | undefined;
  for (let index = 0; index < candidates.length; index += 1) {
    const candidate = candidates[(index + offset) % candidates.length];
    if (candidate && (best === undefined || getCost(candidate) < getCost(best))) {
      best = candidate;
    }
  }
  return best;
};

const orAll = (
  some: readonly PlaceCandidate[],
  all: readonly PlaceCandidate[],
): readonly PlaceCandidate[] => (some.length > 0 ? some : all);

/** Undefined when there is no candidate at all. */
export const choosePlace = (input: PlaceInput): PlaceCandidate | undefined => {
  const sound = orAll(
    input.candidates.filter((candidate) => !candidate.isSuspect),
    input.candidates,
  );
  const local = sound.filter((candidate) => candidate.dataCentre === input.localDataCentre);
  const hasLocalRoom = local.some((candidate) => getCost(candidate) < SPILL_LOAD);
  const pool = hasLocalRoom ? local : sound;
  const owner = input.affinityKey === undefined ? undefined : findOwner(input.affinityKey, pool);
  return owner ?? findLeastLoaded(pool, input.random);
};

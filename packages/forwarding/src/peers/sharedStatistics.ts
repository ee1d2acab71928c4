/**
 * Statistics on engines that daemons share and add up over the fleet. One of 195 daemons sees two
 * requests a second: alone it would take half a minute to learn the engines' speed and the demand
 * for each model, and meanwhile it would expect long prompts to be late that are not.
 */
import {
  NO_ANSWERS,
  NO_LATENCIES,
  addPaces,
  combineLatencies,
  type LatencyProfile,
  type ModelWork,
  type PaceSum,
  type VersionCounts,
} from '@snipehaven/policy';
import type { StoreRevision } from '../store/storeRevision.js';

/** Throughput of a service's upstreams. */
export interface ServicePace extends PaceSum {
  readonly service: string;
}

/** Work placed for one model of a service. */
export interface ServiceModelWork extends ModelWork {
  readonly service: string;
}

/** How long the answers of both versions take, relative to the time expected of each. */
export interface RolloutTimes {
  /** Until the answer begins. */
  readonly candidate: LatencyProfile;
  readonly present: LatencyProfile;
  /** From the beginning of the answer on. */
  readonly candidateBodies: LatencyProfile;
  readonly presentBodies: LatencyProfile;
  /** Requests sent to each version since the order. */
  readonly candidateRequests: number;
  readonly presentRequests: number;
}

/** Answer counts of both versions during a roll-out. */
export interface RolloutCounts {
  readonly candidate: VersionCounts;
  readonly present: VersionCounts;
  /** The candidate's answers since all requests were directed to it, keyed by the upstream's data centre. */
  readonly candidateAtFullShare: ReadonlyMap<string, VersionCounts>;
  readonly times: RolloutTimes;
  /** The highest step of the schedule that any of the daemons has reached. */
  readonly step: number;
}

export interface ServiceRolloutCounts extends RolloutCounts {
  readonly service: string;
  /** Distinguishes successive orders of a service. */
  readonly orderRevision: StoreRevision;
}

export const NO_ROLLOUT_TIMES: RolloutTimes = {
  candidate: NO_LATENCIES,
  present: NO_LATENCIES,
  candidateBodies: NO_LATENCIES,
  presentBodies: NO_LATENCIES,
  candidateRequests: 0,
  presentRequests: 0,
};

export const NO_ROLLOUT_COUNTS: RolloutCounts = {
  candidate: NO_ANSWERS,
  present: NO_ANSWERS,
  candidateAtFullShare: new Map(),
  times: NO_ROLLOUT_TIMES,
  step: 0,
};

export interface SharedStatistics {
  readonly paces: readonly ServicePace[];
  readonly demands: readonly ServiceModelWork[];
  readonly rollouts: readonly ServiceRolloutCounts[];
}

export const NO_STATISTICS: SharedStatistics = { paces: [], demands: [], rollouts: [] };

/** Combines items with the same key. */
const sumBy = <Item>(
  items: readonly Item[],
  getKey: (item: Item) => string,
  add: (a: Item, b: Item) => Item,
): readonly Item[] => {
  const sums = new Map<string, Item>();
  for (const item of items) {
    const key = getKey(item);
    const known = sums.get(key);
    sums.set(key, known === undefined ? item : add(known, item));
  }
  return [...sums.values()];
};

const getRolloutKey = ({ service, orderRevision }: ServiceRolloutCounts): string =>
  `${service}/${orderRevision.era}/${orderRevision.version}`;

type CombineNumbers = (a: number, b: number) => number;

const combineCounts = (
  a: VersionCounts,
  b: VersionCounts,
  combine: CombineNumbers,
): VersionCounts => ({
  answers: combine(a.answers, b.answers),
  bad: combine(a.bad, b.bad),
});

const combineTimes = (a: RolloutTimes, b: RolloutTimes, combine: CombineNumbers): RolloutTimes => ({
  candidate: combineLatencies(a.candidate, b.candidate, combine),
  present: combineLatencies(a.present, b.present, combine),
  candidateBodies: combineLatencies(a.candidateBodies, b.candidateBodies, combine),
  presentBodies: combineLatencies(a.presentBodies, b.presentBodies, combine),
  candidateRequests: combine(a.candidateRequests, b.candidateRequests),
  presentRequests: combine(a.presentRequests, b.presentRequests),
});

const combineRolloutCounts = (
  a: RolloutCounts,
  b: RolloutCounts,
  combine: CombineNumbers,
): RolloutCounts => {
  const dataCentres = new Set([...a.candidateAtFullShare.keys(), ...b.candidateAtFullShare.keys()]);
  const combineDataCentre = (dataCentre: string): VersionCounts =>
    combineCounts(
      a.candidateAtFullShare.get(dataCentre) ?? NO_ANSWERS,
      b.candidateAtFullShare.get(dataCentre) ?? NO_ANSWERS,
      combine,
    );
  return {
    candidate: combineCounts(a.candidate, b.candidate, combine),
    present: combineCounts(a.present, b.present, combine),
    candidateAtFullShare: new Map(
      [...dataCentres].map((dataCentre) => [dataCentre, combineDataCentre(dataCentre)]),
    ),
    times: combineTimes(a.times, b.times, combine),
    step: Math.max(a.step, b.step),
  };
};

export const addRolloutCounts = (a: RolloutCounts, b: RolloutCounts): RolloutCounts =>
  combineRolloutCounts(a, b, (one, other) => one + other);

/** Clamped at zero: `part` may be newer, and larger, than the contribution included in `sum`. */
const subtractPart = (sum: RolloutCounts, part: RolloutCounts): RolloutCounts =>
  combineRolloutCounts(sum, part, (one, other) => Math.max(0, one - other));

export const sumStatistics = (all: readonly SharedStatistics[]): SharedStatistics => ({
  paces: sumBy(
    all.flatMap(({ paces }) => paces),
    ({ service }) => service,
    (a, b) => ({ ...a, ...addPaces(a, b) }),
  ),
  demands: sumBy(
    all.flatMap(({ demands }) => demands),
    ({ service, model }) => `${service}/${model}`,
    (a, b) => ({ ...a, work: a.work + b.work }),
  ),
  rollouts: sumBy(
    all.flatMap(({ rollouts }) => rollouts),
    getRolloutKey,
    (a, b) => ({ ...a, ...addRolloutCounts(a, b) }),
  ),
});

/**
 * Removes this daemon's own contribution from a sum. Counting its answers twice would halve the evidence
 * required for a roll-back.
 */
export const subtractRolloutCounts = (
  sum: readonly ServiceRolloutCounts[],
  part: readonly ServiceRolloutCounts[],
): readonly ServiceRolloutCounts[] => {
  const own = new Map(part.map((one) => [getRolloutKey(one), one]));
  return sum.map((one) => ({
    ...one,
    ...subtractPart(one, own.get(getRolloutKey(one)) ?? NO_ROLLOUT_COUNTS),
  }));
};

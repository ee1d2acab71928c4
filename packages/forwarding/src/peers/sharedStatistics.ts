/**
 * Statistics on engines that daemons share and add up over the fleet. One of 195 daemons sees two
 * requests a second: alone it would take half a minute to learn the engines' speed and the demand
 * for each model, and meanwhile it would expect long prompts to be late that are not.
 */
import {
  NO_ANSWERS,
  addVersionCounts,
  addPaces,
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

/** Answer counts of both versions during a roll-out. */
export interface RolloutCounts {
  readonly candidate: VersionCounts;
  readonly present: VersionCounts;
  /** The candidate's answers since all requests were directed to it, keyed by the upstream's data centre. */
  readonly candidateAtFullShare: ReadonlyMap<string, VersionCounts>;
}

export interface ServiceRolloutCounts extends RolloutCounts {
  readonly service: string;
  /** Distinguishes successive orders of a service. */
  readonly orderRevision: StoreRevision;
}

export const NO_ROLLOUT_COUNTS: RolloutCounts = {
  candidate: NO_ANSWERS,
  present: NO_ANSWERS,
  candidateAtFullShare: new Map(),
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

export const combineRolloutCounts = (
  a: RolloutCounts,
  b: RolloutCounts,
  combine: (a: VersionCounts, b: VersionCounts) => VersionCounts,
): RolloutCounts => {
  const dataCentres = new Set([...a.candidateAtFullShare.keys(), ...b.candidateAtFullShare.keys()]);
  const combineDataCentre = (dataCentre: string): VersionCounts =>
    combine(
      a.candidateAtFullShare.get(dataCentre) ?? NO_ANSWERS,
      b.candidateAtFullShare.get(dataCentre) ?? NO_ANSWERS,
    );
  return {
    candidate: combine(a.candidate, b.candidate),
    present: combine(a.present, b.present),
    candidateAtFullShare: new Map(
      [...dataCentres].map((dataCentre) => [dataCentre, combineDataCentre(dataCentre)]),
    ),
  };
};

/** Clamped at zero: `b` may be newer, and larger, than the contribution included in `a`. */
const subtractCounts = (a: VersionCounts, b: VersionCounts): VersionCounts => ({
  answers: Math.max(0, a.answers - b.answers),
  bad: Math.max(0, a.bad - b.bad),
});

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
    (a, b) => ({ ...a, ...combineRolloutCounts(a, b, addVersionCounts) }),
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
    ...combineRolloutCounts(one, own.get(getRolloutKey(one)) ?? NO_ROLLOUT_COUNTS, subtractCounts),
  }));
};

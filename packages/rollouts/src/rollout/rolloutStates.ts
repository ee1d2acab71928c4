/** Replicated roll-out state of a daemon, merged from all peers. */
import { asId, type IncarnationId } from '@snipehaven/common';
import {
  foldPairShares,
  joinProgress,
  mergePairShares,
  sumBins,
  type ExposureGrant,
  type PairShare,
  type RolloutProgress,
} from '@snipehaven/policy';
import { GRANT_LIFETIME_MS, PAIR_ANNOUNCEMENT_GROWTH } from '../constants.js';
import type { ExposureMessage, GrantMessage } from './types.js';

export type StateKind = 'progress' | 'grant' | 'exposure' | 'pairs';

/** Called with every item that changed. */
export type StateListener = (kind: StateKind, rolloutId: string, incarnation: string) => void;

interface RolloutState {
  progress?: RolloutProgress | undefined;
  readonly grants: Map<string, GrantMessage>;
  /** Time at which the latest changed grant of each incarnation was received. */
  readonly grantReceivedAtMs: Map<string, number>;
  readonly exposures: Map<string, ExposureMessage>;
  /** Rated pairs by source. */
  readonly pairs: Map<string, PairShare>;
  /** Pair count of each source at its last announcement. */
  readonly announcedPairCounts: Map<string, number>;
}

const isShallowEqual = <Item extends object>(a: Item | undefined, b: Item): boolean =>
  a !== undefined && (Object.keys(b) as (keyof Item)[]).every((field) => a[field] === b[field]);

/** Takes the share of the later plan and the maximum of the counts, which only grow. */
const joinGrants = (a: GrantMessage, b: GrantMessage): GrantMessage => {
  const later = a.fence - b.fence || a.plan - b.plan || a.sharePct - b.sharePct;
  const newer = later >= 0 ? a : b;
  return { ...newer, grantedCount: Math.max(a.grantedCount, b.grantedCount) };
};

const joinExposures = (a: ExposureMessage, b: ExposureMessage): ExposureMessage => ({
  ...a,
  grantedCount: Math.max(a.grantedCount, b.grantedCount),
  exposedCount: Math.max(a.exposedCount, b.exposedCount),
  judgedCount: Math.max(a.judgedCount, b.judgedCount),
});

const DATA_CENTRE_PREFIX = '@';

/** Source name of the aggregated pairs that a data centre sends to the others. */
export const getDataCentreSource = (dataCentre: string): string =>
  `${DATA_CENTRE_PREFIX}${dataCentre}`;

export const isDataCentreSource = (source: string): boolean =>
  source.startsWith(DATA_CENTRE_PREFIX);

export class RolloutStates {
  readonly #states = new Map<string, RolloutState>();

  readonly #listeners = new Set<StateListener>();

  onChange(listener: StateListener): void {
    this.#listeners.add(listener);
  }

  getProgress(rolloutId: string): RolloutProgress | undefined {
    return this.#states.get(rolloutId)?.progress;
  }

  /**
   * Returns the grant of a daemon incarnation unless it has expired.
   *
   * If a data centre is partitioned while it holds grants, the lease holder considers its daemons
   * dead and eventually grants their part to others. The exposure could then exceed the budget,
   * visible as a jump when the partition heals. Grants that no plan renews therefore expire well
   * before the holder reassigns them.
   */
  getGrant(rolloutId: string, incarnation: string): ExposureGrant | undefined {
    const state = this.#states.get(rolloutId);
    const grant = state?.grants.get(incarnation);
    const receivedAtMs = state?.grantReceivedAtMs.get(incarnation) ?? -Infinity;
    const isLapsed = Date.now() - receivedAtMs > GRANT_LIFETIME_MS;
    return grant === undefined || isLapsed
      ? undefined
      : { ...grant, incarnation: asId<IncarnationId>(grant.incarnation) };
  }

  getGrantMessage(rolloutId: string, incarnation: string): GrantMessage | undefined {
    return this.#states.get(rolloutId)?.grants.get(incarnation);
  }

  getExposure(rolloutId: string, incarnation: string): ExposureMessage | undefined {
    return this.#states.get(rolloutId)?.exposures.get(incarnation);
  }

  listGrants(rolloutId: string): readonly GrantMessage[] {
    return [...(this.#states.get(rolloutId)?.grants.values() ?? [])];
  }

  listExposures(rolloutId: string): readonly ExposureMessage[] {
    return [...(this.#states.get(rolloutId)?.exposures.values() ?? [])];
  }

  getPairs(rolloutId: string, source: string): PairShare | undefined {
    return this.#states.get(rolloutId)?.pairs.get(source);
  }

  listPairs(rolloutId: string): readonly PairShare[] {
    return [...(this.#states.get(rolloutId)?.pairs.values() ?? [])];
  }

  /**
   * Aggregates the pairs of this data centre for the others. The aggregate computed by each daemon
   * is a lower bound, so aggregates of several daemons can be merged by taking the maximum.
   */
  getLocalPairs(rolloutId: string, source: string): PairShare {
    const local = this.listPairs(rolloutId).filter((share) => !isDataCentreSource(share.source));
    return { source, counts: foldPairShares(local) };
  }

  /** Pair counts summed over all sources. */
  getPairCounts(rolloutId: string): readonly number[] {
    return foldPairShares(this.listPairs(rolloutId));
  }

  listRolloutIds(): readonly string[] {
    return [...this.#states.keys()];
  }

  mergeProgress(progress: RolloutProgress): void {
    const state = this.#getState(progress.rolloutId);
    const joined = state.progress ? joinProgress(state.progress, progress) : progress;
    if (!isShallowEqual(state.progress, joined)) {
      state.progress = joined;
      this.#notify('progress', progress.rolloutId, '');
    }
  }

  mergeGrant(grant: GrantMessage): void {
    const { grants, grantReceivedAtMs } = this.#getState(grant.rolloutId);
    const present = grants.get(grant.incarnation);
    const joined = present ? joinGrants(present, grant) : grant;
    if (!isShallowEqual(present, joined)) {
      grantReceivedAtMs.set(grant.incarnation, Date.now());
      grants.set(grant.incarnation, joined);
      this.#notify('grant', grant.rolloutId, grant.incarnation);
    }
  }

  mergeExposure(exposure: ExposureMessage): void {
    const { exposures } = this.#getState(exposure.rolloutId);
    const present = exposures.get(exposure.incarnation);
    const joined = present ? joinExposures(present, exposure) : exposure;
    if (!isShallowEqual(present, joined)) {
      exposures.set(exposure.incarnation, joined);
      this.#notify('exposure', exposure.rolloutId, exposure.incarnation);
    }
  }

  /**
   * Merges pair counts. They only grow, so an announcement may wait until the increase is worth a
   * message.
   */
  mergePairs(rolloutId: string, share: PairShare): void {
    const { pairs, announcedPairCounts } = this.#getState(rolloutId);
    const present = pairs.get(share.source);
    const [joined = share] = mergePairShares(present ? [present] : [], [share]);
    pairs.set(share.source, joined);
    const total = sumBins(joined.counts);
    const announced = announcedPairCounts.get(share.source) ?? 0;
    if (total > announced && total - announced >= announced * PAIR_ANNOUNCEMENT_GROWTH) {
      announcedPairCounts.set(share.source, total);
      this.#notify('pairs', rolloutId, share.source);
    }
  }

  /** Removes roll-outs that are no longer declared. */
  retainOnly(rolloutIds: ReadonlySet<string>): void {
    this.listRolloutIds()
      .filter((rolloutId) => !rolloutIds.has(rolloutId))
      .forEach((rolloutId) => this.#states.delete(rolloutId));
  }

  #getState(rolloutId: string): RolloutState {
    const present = this.#states.get(rolloutId);
    if (present !== undefined) {
      return present;
    }
    const created: RolloutState = {
      grants: new Map(),
      grantReceivedAtMs: new Map(),
      exposures: new Map(),
      pairs: new Map(),
      announcedPairCounts: new Map(),
    };
    this.#states.set(rolloutId, created);
    return created;
  }

  #notify(kind: StateKind, rolloutId: string, incarnation: string): void {
    this.#listeners.forEach((listener) => listener(kind, rolloutId, incarnation));
  }
}

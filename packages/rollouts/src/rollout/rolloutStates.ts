/** What a daemon knows of the roll-outs under way, joined from everyone. */
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
import { GRANT_LIFETIME_MS, PAIR_NEWS_GROWTH } from '../constants.js';
import type { ExposureMessage, GrantMessage } from './types.js';

export type StateKind = 'progress' | 'grant' | 'exposure' | 'pairs';

/** Told of each item that changed. */
export type StateListener = (kind: StateKind, rolloutId: string, incarnation: string) => void;

interface State {
  progress?: RolloutProgress | undefined;
  readonly grants: Map<string, GrantMessage>;
  /** When the latest plan with a grant for the incarnation was heard of. */
  readonly grantedAtMs: Map<string, number>;
  readonly exposures: Map<string, ExposureMessage>;
  /** Pairs counted, by source. */
  readonly pairs: Map<string, PairShare>;
  /** Pairs of each source when they were last in the news. */
  readonly toldPairs: Map<string, number>;
}

const isSame = <Item extends object>(a: Item | undefined, b: Item): boolean =>
  a !== undefined && (Object.keys(b) as (keyof Item)[]).every((field) => a[field] === b[field]);

/** The share of the later plan counts; totals only grow. */
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

const DATA_CENTRE_MARK = '@';

/** The source under which a data centre tells the others of its daemons' pairs. */
export const getDataCentreSource = (dataCentre: string): string =>
  `${DATA_CENTRE_MARK}${dataCentre}`;

export const isDataCentreSource = (source: string): boolean => source.startsWith(DATA_CENTRE_MARK);

export class RolloutStates {
  readonly #states = new Map<string, State>();

  readonly #listeners = new Set<StateListener>();

  onChange(listener: StateListener): void {
    this.#listeners.add(listener);
  }

  getProgress(rolloutId: string): RolloutProgress | undefined {
    return this.#states.get(rolloutId)?.progress;
  }

  /**
   * The grant of one life of a daemon, unless it has lapsed.
   *
   * What goes wrong: a data centre is cut off with grants in hand; the holder takes its daemons for dead,
   * in the end grants their part to others, and more answers are out than the budget allows. One
   * notices it by exposures that jump up when the cut heals. Grants that no plan renews therefore lapse
   * well before the holder counts on it.
   */
  getGrant(rolloutId: string, incarnation: string): ExposureGrant | undefined {
    const state = this.#states.get(rolloutId);
    const grant = state?.grants.get(incarnation);
    const heardAtMs = state?.grantedAtMs.get(incarnation) ?? -Infinity;
    const isLapsed = Date.now() - heardAtMs > GRANT_LIFETIME_MS;
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
   * The pairs of this data centre's daemons as one share, for the others. Each daemon's sum is a lower bound,
   * so that sums of several daemons join by the maximum.
   */
  getLocalPairs(rolloutId: string, source: string): PairShare {
    const local = this.listPairs(rolloutId).filter((share) => !isDataCentreSource(share.source));
    return { source, counts: foldPairShares(local) };
  }

  /** The pairs of all sources. */
  getPairCounts(rolloutId: string): readonly number[] {
    return foldPairShares(this.listPairs(rolloutId));
  }

  listRolloutIds(): readonly string[] {
    return [...this.#states.keys()];
  }

  mergeProgress(progress: RolloutProgress): void {
    const state = this.#getState(progress.rolloutId);
    const joined = state.progress ? joinProgress(state.progress, progress) : progress;
    if (!isSame(state.progress, joined)) {
      state.progress = joined;
      this.#notify('progress', progress.rolloutId, '');
    }
  }

  mergeGrant(grant: GrantMessage): void {
    const { grants, grantedAtMs } = this.#getState(grant.rolloutId);
    const present = grants.get(grant.incarnation);
    const joined = present ? joinGrants(present, grant) : grant;
    if (!isSame(present, joined)) {
      grantedAtMs.set(grant.incarnation, Date.now());
      grants.set(grant.incarnation, joined);
      this.#notify('grant', grant.rolloutId, grant.incarnation);
    }
  }

  mergeExposure(exposure: ExposureMessage): void {
    const { exposures } = this.#getState(exposure.rolloutId);
    const present = exposures.get(exposure.incarnation);
    const joined = present ? joinExposures(present, exposure) : exposure;
    if (!isSame(present, joined)) {
      exposures.set(exposure.incarnation, joined);
      this.#notify('exposure', exposure.rolloutId, exposure.incarnation);
    }
  }

  /** Counts only grow, so news of them may wait until it is worth a message. */
  mergePairs(rolloutId: string, share: PairShare): void {
    const { pairs, toldPairs } = this.#getState(rolloutId);
    const present = pairs.get(share.source);
    const [joined = share] = mergePairShares(present ? [present] : [], [share]);
    pairs.set(share.source, joined);
    const total = sumBins(joined.counts);
    const told = toldPairs.get(share.source) ?? 0;
    if (total > told && total - told >= told * PAIR_NEWS_GROWTH) {
      toldPairs.set(share.source, total);
      this.#notify('pairs', rolloutId, share.source);
    }
  }

  /** Forgets roll-outs that are declared no more. */
  keepOnly(rolloutIds: ReadonlySet<string>): void {
    this.listRolloutIds()
      .filter((rolloutId) => !rolloutIds.has(rolloutId))
      .forEach((rolloutId) => this.#states.delete(rolloutId));
  }

  #getState(rolloutId: string): State {
    const present = this.#states.get(rolloutId);
    if (present !== undefined) {
      return present;
    }
    const created: State = {
      grants: new Map(),
      grantedAtMs: new Map(),
      exposures: new Map(),
      pairs: new Map(),
      toldPairs: new Map(),
    };
    this.#states.set(rolloutId, created);
    return created;
  }

  #notify(kind: StateKind, rolloutId: string, incarnation: string): void {
    this.#listeners.forEach((listener) => listener(kind, rolloutId, incarnation));
  }
}

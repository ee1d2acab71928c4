/** The registry of all configured upstreams, and the choice among them. */
import type { DataCentreId, Random, UpstreamId } from '@snipehaven/common';
import {
  chooseUpstream,
  countPrefix,
  createPrefixCounts,
  getMaxRunning,
  getPrefixShare,
  type OutcomeKind,
  type PrefixCounts,
  type UpstreamChoiceReason,
  type UpstreamView,
} from '@snipehaven/policy';
import type { ConfigurationView } from '@snipehaven/resources';
import type { TimelineRecorder } from '@snipehaven/timeline';
import type { EngineLoad } from '@snipehaven/upstream';
import { UpstreamEntry, type LeavingSource, type SlotPlace } from './upstreamEntry.js';
import { UpstreamFreshness } from './upstreamFreshness.js';

export interface RegistryOptions {
  readonly localDataCentre: DataCentreId;
  readonly random: Random;
  readonly timeline: TimelineRecorder;
  /** This daemon's position among the daemons of its data centre, which share its upstreams. */
  readonly getDaemonPlace: () => DaemonPlace;
}

/** A position in a sorted list that is the same on all daemons of the data centre. */
export interface DaemonPlace {
  readonly daemonIndex: number;
  readonly daemonCount: number;
}

/** The criteria of an attempt for choosing an upstream. */
export interface UpstreamQuery {
  /** Exactly one of `version` and `service` is set. */
  readonly version?: string;
  readonly service?: string;
  readonly sessionKey?: string;
  readonly prefixKey?: string;
  readonly excludedIds: readonly UpstreamId[];
}

export interface ChosenUpstream {
  readonly entry: UpstreamEntry;
  readonly reason: UpstreamChoiceReason;
}

/** Called after an upstream refused a request without running any of it. */
export type RefusalListener = (entry: UpstreamEntry) => void;

const RATE_WINDOW_MS = 5_000;

export class UpstreamRegistry {
  readonly freshness = new UpstreamFreshness((entry) => this.recordOutcome(entry, 'unreachable'));

  readonly #options: RegistryOptions;

  #entries = new Map<string, UpstreamEntry>();

  /** Positions of the local upstreams in order of their ids. */
  #upstreamIndexes = new Map<string, number>();

  #prefixCounts: PrefixCounts = createPrefixCounts();

  readonly #refusalListeners = new Set<RefusalListener>();

  #sentInWindow = 0;

  #windowStartedAtMs = Date.now();

  #sentPerSecond = 0;

  constructor(options: RegistryOptions) {
    this.#options = options;
  }

  /** Applies a configuration; keeps the state of upstreams whose URL did not change. */
  update(view: ConfigurationView): void {
    const nowMs = Date.now();
    const entries = new Map<string, UpstreamEntry>();
    view.list('Upstream').forEach((resource) => {
      const present = this.#entries.get(resource.metadata.name);
      const isSame = present?.spec.url === resource.spec.url;
      const entry = present && isSame ? present : new UpstreamEntry(resource, nowMs);
      entry.setSpec(resource.spec);
      entries.set(resource.metadata.name, entry);
    });
    this.#entries = entries;
    const localIds = [...entries.values()]
      .filter((entry) => this.#isLocal(entry))
      .map(({ id }) => id);
    this.#upstreamIndexes = new Map(localIds.sort().map((id, index) => [id, index]));
  }

  list(): readonly UpstreamEntry[] {
    return [...this.#entries.values()];
  }

  get(id: string): UpstreamEntry | undefined {
    return this.#entries.get(id);
  }

  /** Whether any upstream that is not leaving serves the version, regardless of its load. */
  hasVersion(version: string): boolean {
    return this.list().some(
      (entry) => entry.leavingSinceMs === undefined && entry.servesVersion(version),
    );
  }

  /** How many requests may run at once, given the capacity of the upstreams. */
  getMaxRunning(): number {
    const { daemonCount } = this.#options.getDaemonPlace();
    const entries = this.list();
    const local = entries.filter((entry) => this.#isLocal(entry) && entry.isOpen);
    return getMaxRunning(this.#toViews(local.length > 0 ? local : entries), daemonCount);
  }

  choose(query: UpstreamQuery): ChosenUpstream | undefined {
    const nowMs = Date.now();
    const { prefixKey, sessionKey } = query;
    const choice = chooseUpstream({
      upstreams: this.#toViews(this.#listServing(query), prefixKey),
      ...(sessionKey === undefined ? {} : { sessionKey }),
      ...(prefixKey === undefined
        ? {}
        : { prefixKey, prefixShare: this.#getPrefixShare(prefixKey, query) }),
      localDataCentre: this.#options.localDataCentre,
      nowMs,
      random: this.#options.random,
      excludedIds: query.excludedIds,
      daemonCount: this.#options.getDaemonPlace().daemonCount,
      ownRequestsPerSecond: this.#updateSendRate(nowMs),
    });
    const entry = choice && this.#entries.get(choice.upstream);
    return choice && entry ? { entry, reason: choice.reason } : undefined;
  }

  /**
   * Like `choose`, but a stale load report is read again before its engine is used. Engines that
   * are leaving or do not respond are skipped.
   */
  async chooseFresh(query: UpstreamQuery): Promise<ChosenUpstream | undefined> {
    if (query.version === undefined) {
      await this.freshness.refreshVmList();
    }
    const unreachableIds: UpstreamId[] = [];
    for (;;) {
      const excludedIds = [...query.excludedIds, ...unreachableIds];
      const chosen = this.choose({ ...query, excludedIds });
      if (chosen === undefined || !this.freshness.isStale(chosen.entry)) {
        return chosen;
      }
      const { entry } = chosen;
      if ((await this.freshness.refresh(entry)) === 'unreachable') {
        unreachableIds.push(entry.id);
      } else if (entry.isOpen && this.#listServing(query).includes(entry)) {
        return chosen;
      }
    }
  }

  /**
   * Applies an engine's load report, dated by when it was requested: a response that was in the
   * socket buffer while the process was paused is as old as its request. A report that was
   * overtaken by a later one is ignored.
   */
  updateLoad(entry: UpstreamEntry, load: EngineLoad, requestedAtMs: number): void {
    if (requestedAtMs < entry.loadRequestedAtMs) {
      return;
    }
    entry.updateLoad(load, requestedAtMs);
    this.setLeaving(entry.id, 'engine', load.leaving);
  }

  recordOutcome(entry: UpstreamEntry, outcome: OutcomeKind): void {
    const pool = this.#listPool(entry);
    const wasEjected = entry.health.ejectedUntilMs !== 0;
    const ejectedCount = pool.filter(
      (other) => other !== entry && other.health.ejectedUntilMs !== 0,
    ).length;
    const poolStatus = { poolSize: pool.length, ejectedCount };
    entry.applyOutcome(outcome, poolStatus, Date.now(), this.#options.random);
    const isEjected = entry.health.ejectedUntilMs !== 0;
    if (isEjected !== wasEjected) {
      const type = isEjected ? 'upstreamEjected' : 'upstreamReturned';
      this.#options.timeline.record(type, { upstream: entry.id }, { outcome });
    }
    if (outcome === 'refused') {
      this.#refusalListeners.forEach((listener) => listener(entry));
    }
  }

  /** Adds a listener; returns a function that removes it. */
  onRefusal(listener: RefusalListener): () => void {
    this.#refusalListeners.add(listener);
    return () => this.#refusalListeners.delete(listener);
  }

  /** Sets or clears one source's report that an upstream is leaving. */
  setLeaving(id: string, source: LeavingSource, isLeaving: boolean): void {
    const entry = this.#entries.get(id);
    const wasLeaving = entry?.leavingSinceMs !== undefined;
    entry?.setLeaving(source, isLeaving, Date.now());
    if (entry && !wasLeaving && entry.leavingSinceMs !== undefined) {
      this.#options.timeline.record('upstreamLeaving', { upstream: id }, { source });
    }
  }

  #isLocal(entry: UpstreamEntry): boolean {
    return entry.spec.dataCentre === this.#options.localDataCentre;
  }

  #toViews(entries: readonly UpstreamEntry[], prefixKey?: string): readonly UpstreamView[] {
    const place = this.#options.getDaemonPlace();
    return entries.map((entry) => entry.toView(prefixKey, this.#getSlotPlace(entry, place)));
  }

  #getSlotPlace(entry: UpstreamEntry, place: DaemonPlace): SlotPlace | undefined {
    const upstreamIndex = this.#upstreamIndexes.get(entry.id);
    return upstreamIndex === undefined ? undefined : { upstreamIndex, ...place };
  }

  /** Counts each request once, at its first attempt. */
  #getPrefixShare(prefixKey: string, { excludedIds }: UpstreamQuery): number {
    if (excludedIds.length === 0) {
      this.#prefixCounts = countPrefix(this.#prefixCounts, prefixKey);
    }
    return getPrefixShare(this.#prefixCounts, prefixKey);
  }

  #listServing(query: UpstreamQuery): readonly UpstreamEntry[] {
    return this.list().filter((entry) =>
      query.version === undefined
        ? entry.spec.type === 'service' && entry.spec.service === query.service
        : entry.spec.type === 'engine' && entry.servesVersion(query.version),
    );
  }

  #listPool(entry: UpstreamEntry): readonly UpstreamEntry[] {
    return this.list().filter(
      (other) =>
        other.spec.type === entry.spec.type &&
        other.spec.service === entry.spec.service &&
        other.spec.dataCentre === entry.spec.dataCentre,
    );
  }

  /** Counts a request; returns the requests per second over the last window. */
  #updateSendRate(nowMs: number): number {
    this.#sentInWindow += 1;
    const elapsedMs = nowMs - this.#windowStartedAtMs;
    if (elapsedMs >= RATE_WINDOW_MS) {
      this.#sentPerSecond = (this.#sentInWindow * 1_000) / elapsedMs;
      this.#sentInWindow = 0;
      this.#windowStartedAtMs = nowMs;
    }
    return this.#sentPerSecond;
  }
}

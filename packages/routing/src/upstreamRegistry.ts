/** All configured upstreams, and the choice among them. */
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
  /** This daemon's place among those of the data centre, which send to the same upstreams. */
  readonly getDaemonPlace: () => DaemonPlace;
}

/** A place in a sorted list that all daemons of the data centre share. */
export interface DaemonPlace {
  readonly daemonIndex: number;
  readonly daemonCount: number;
}

/** What an attempt looks for. */
export interface UpstreamWish {
  /** Exactly one of the two is given. */
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

/** Called when an upstream has refused a request before anything of it ran. */
export type RefusalListener = (entry: UpstreamEntry) => void;

const RATE_WINDOW_MS = 5_000;

export class UpstreamRegistry {
  readonly freshness = new UpstreamFreshness((entry) => this.recordOutcome(entry, 'unreachable'));

  readonly #options: RegistryOptions;

  #entries = new Map<string, UpstreamEntry>();

  /** Places of the own data centre's upstreams in the order of their ids. */
  #upstreamIndexes = new Map<string, number>();

  #prefixes: PrefixCounts = createPrefixCounts();

  readonly #refusalListeners = new Set<RefusalListener>();

  #sentInWindow = 0;

  #windowStartedAtMs = Date.now();

  #sentPerSecond = 0;

  constructor(options: RegistryOptions) {
    this.#options = options;
  }

  /** Takes in a configuration: keeps what is known of upstreams that stay. */
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

  /** Whether any upstream serves the version, however busy. */
  hasVersion(version: string): boolean {
    return this.list().some(
      (entry) => entry.leavingSinceMs === undefined && entry.servesVersion(version),
    );
  }

  /** How many requests may run at once, by the room at the upstreams that they go to. */
  getMaxRunning(): number {
    const { daemonCount } = this.#options.getDaemonPlace();
    const entries = this.list();
    const local = entries.filter((entry) => this.#isLocal(entry) && entry.isOpen);
    return getMaxRunning(this.#toViews(local.length > 0 ? local : entries), daemonCount);
  }

  choose(wish: UpstreamWish): ChosenUpstream | undefined {
    const nowMs = Date.now();
    const { prefixKey, sessionKey } = wish;
    const choice = chooseUpstream({
      upstreams: this.#toViews(this.#listServing(wish), prefixKey),
      ...(sessionKey === undefined ? {} : { sessionKey }),
      ...(prefixKey === undefined
        ? {}
        : { prefixKey, prefixShare: this.#getPrefixShare(prefixKey, wish) }),
      localDataCentre: this.#options.localDataCentre,
      nowMs,
      random: this.#options.random,
      excludedIds: wish.excludedIds,
      daemonCount: this.#options.getDaemonPlace().daemonCount,
      ownRequestsPerSecond: this.#countSent(nowMs),
    });
    const entry = choice && this.#entries.get(choice.upstream);
    return choice && entry ? { entry, reason: choice.reason } : undefined;
  }

  /**
   * The same among what this daemon knows enough of: a choice whose load report is too old is read anew.
   * One that is leaving, or does not answer, is passed over.
   */
  async chooseFresh(wish: UpstreamWish): Promise<ChosenUpstream | undefined> {
    if (wish.version === undefined) {
      await this.freshness.refreshVmList();
    }
    const unreachableIds: UpstreamId[] = [];
    for (;;) {
      const excludedIds = [...wish.excludedIds, ...unreachableIds];
      const chosen = this.choose({ ...wish, excludedIds });
      if (chosen === undefined || !this.freshness.isStale(chosen.entry)) {
        return chosen;
      }
      const { entry } = chosen;
      if ((await this.freshness.refresh(entry)) === 'unreachable') {
        unreachableIds.push(entry.id);
      } else if (entry.isOpen && this.#listServing(wish).includes(entry)) {
        return chosen;
      }
    }
  }

  /**
   * Takes in an engine's load report, by when it was asked for: an answer that was in the socket while the
   * process was frozen is as old as its question, and one overtaken by a later one tells nothing.
   */
  noteLoad(entry: UpstreamEntry, load: EngineLoad, askedAtMs: number): void {
    if (askedAtMs < entry.loadReadAtMs) {
      return;
    }
    entry.noteLoad(load, askedAtMs);
    this.noteLeaving(entry.id, 'engine', load.leaving);
  }

  recordOutcome(entry: UpstreamEntry, outcome: OutcomeKind): void {
    const pool = this.#listPool(entry);
    const wasEjected = entry.health.ejectedUntilMs !== 0;
    const ejectedCount = pool.filter(
      (other) => other !== entry && other.health.ejectedUntilMs !== 0,
    ).length;
    const situation = { poolSize: pool.length, ejectedCount };
    entry.noteOutcome(outcome, situation, Date.now(), this.#options.random);
    const isEjected = entry.health.ejectedUntilMs !== 0;
    if (isEjected !== wasEjected) {
      const type = isEjected ? 'upstreamEjected' : 'upstreamReturned';
      this.#options.timeline.record(type, { upstream: entry.id }, { outcome });
    }
    if (outcome === 'refused') {
      this.#refusalListeners.forEach((listener) => listener(entry));
    }
  }

  /** Adds a listener; returns the function that removes it. */
  onRefusal(listener: RefusalListener): () => void {
    this.#refusalListeners.add(listener);
    return () => this.#refusalListeners.delete(listener);
  }

  /** Takes the word of a source that an upstream is leaving, or is not. */
  noteLeaving(id: string, source: LeavingSource, isLeaving: boolean): void {
    const entry = this.#entries.get(id);
    const wasLeaving = entry?.leavingSinceMs !== undefined;
    entry?.noteLeaving(source, isLeaving, Date.now());
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
  #getPrefixShare(prefixKey: string, { excludedIds }: UpstreamWish): number {
    if (excludedIds.length === 0) {
      this.#prefixes = countPrefix(this.#prefixes, prefixKey);
    }
    return getPrefixShare(this.#prefixes, prefixKey);
  }

  #listServing(wish: UpstreamWish): readonly UpstreamEntry[] {
    return this.list().filter((entry) =>
      wish.version === undefined
        ? entry.spec.type === 'service' && entry.spec.service === wish.service
        : entry.spec.type === 'engine' && entry.servesVersion(wish.version),
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

  /** Requests per second over the last window. */
  #countSent(nowMs: number): number {
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

/** All configured upstreams, and the choice among them. */
import type { DataCentreId, Random, UpstreamId } from '@snipehaven/common';
import { chooseUpstream, type OutcomeKind, type UpstreamChoiceReason } from '@snipehaven/policy';
import type { ConfigurationView } from '@snipehaven/resources';
import type { TimelineRecorder } from '@snipehaven/timeline';
import { UpstreamEntry, type LeavingSource } from './upstreamEntry.js';

export interface RegistryOptions {
  readonly localDataCentre: DataCentreId;
  readonly random: Random;
  readonly timeline: TimelineRecorder;
  /** Daemons of the data centre, which send to the same upstreams. */
  readonly getDaemonCount: () => number;
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
  readonly #options: RegistryOptions;

  #entries = new Map<string, UpstreamEntry>();

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

  choose(wish: UpstreamWish): ChosenUpstream | undefined {
    const nowMs = Date.now();
    const choice = chooseUpstream({
      upstreams: this.#listServing(wish).map((entry) => entry.toView(wish.prefixKey)),
      ...(wish.sessionKey === undefined ? {} : { sessionKey: wish.sessionKey }),
      ...(wish.prefixKey === undefined ? {} : { prefixKey: wish.prefixKey }),
      localDataCentre: this.#options.localDataCentre,
      nowMs,
      random: this.#options.random,
      excludedIds: wish.excludedIds,
      daemonCount: this.#options.getDaemonCount(),
      ownRequestsPerSecond: this.#countSent(nowMs),
    });
    const entry = choice && this.#entries.get(choice.upstream);
    return choice && entry ? { entry, reason: choice.reason } : undefined;
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

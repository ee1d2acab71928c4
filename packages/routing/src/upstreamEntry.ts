/** What a daemon knows of one upstream, and what it has in flight there. */
import { asId, type DataCentreId, type Random, type UpstreamId } from '@snipehaven/common';
import {
  createHealth,
  recordOutcome,
  type OutcomeKind,
  type UpstreamHealth,
  type UpstreamView,
} from '@snipehaven/policy';
import type { Resource, UpstreamSpec } from '@snipehaven/resources';
import type { EngineLoad } from '@snipehaven/upstream';

const LATENCY_WEIGHT = 0.2;

/** Where the word came from that an upstream is leaving. */
export type LeavingSource = 'vmList' | 'engine' | 'operator';

export class UpstreamEntry {
  readonly id: UpstreamId;

  #spec: UpstreamSpec;

  #health: UpstreamHealth;

  #load: EngineLoad | undefined;

  #loadAtMs = 0;

  #inFlight = 0;

  #lastSentAtMs = -Infinity;

  #firstTokenMs = 0;

  /** When each of the requests sent after the last load report went out. */
  #sentAtMs: number[] = [];

  readonly #prefixes = new Set<string>();

  readonly #leaving = new Map<LeavingSource, number>();

  constructor(resource: Resource<'Upstream'>, nowMs: number) {
    this.id = asId<UpstreamId>(resource.metadata.name);
    this.#spec = resource.spec;
    this.#health = createHealth(nowMs);
  }

  get spec(): UpstreamSpec {
    return this.#spec;
  }

  get inFlight(): number {
    return this.#inFlight;
  }

  /** When the last request went there; -Infinity: none did. */
  get lastSentAtMs(): number {
    return this.#lastSentAtMs;
  }

  get health(): UpstreamHealth {
    return this.#health;
  }

  get load(): EngineLoad | undefined {
    return this.#load;
  }

  /** Since when it is known to leave; undefined: it stays. */
  get leavingSinceMs(): number | undefined {
    return this.#leaving.size === 0 ? undefined : Math.min(...this.#leaving.values());
  }

  setSpec(spec: UpstreamSpec): void {
    this.#spec = spec;
  }

  /** Versions that it serves, by its own word where it gave one. */
  servesVersion(version: string): boolean {
    return (this.#load?.versions ?? this.#spec.versions).includes(version);
  }

  /** Takes or takes back the word of one source that it is leaving. */
  noteLeaving(source: LeavingSource, isLeaving: boolean, nowMs: number): void {
    if (!isLeaving) {
      this.#leaving.delete(source);
    } else if (!this.#leaving.has(source)) {
      this.#leaving.set(source, nowMs);
    }
  }

  noteLoad(load: EngineLoad): void {
    this.#load = load;
    this.#loadAtMs = load.atMs;
    this.#sentAtMs = this.#sentAtMs.filter((sentAtMs) => sentAtMs > load.atMs);
  }

  /** Forgets a report that no newer one will follow: by and by it would be wrong. */
  forgetLoad(): void {
    this.#load = undefined;
    this.#loadAtMs = 0;
  }

  noteCacheEvent(kind: 'added' | 'evicted', prefix: string): void {
    if (kind === 'added') {
      this.#prefixes.add(prefix);
    } else {
      this.#prefixes.delete(prefix);
    }
  }

  /** Forgets what the cache holds, when events were missed. */
  forgetPrefixes(): void {
    this.#prefixes.clear();
  }

  noteSent(nowMs: number): void {
    this.#inFlight += 1;
    this.#lastSentAtMs = nowMs;
    this.#sentAtMs.push(nowMs);
  }

  noteEnded(): void {
    this.#inFlight -= 1;
  }

  noteFirstToken(firstTokenMs: number): void {
    this.#firstTokenMs =
      this.#firstTokenMs === 0
        ? firstTokenMs
        : this.#firstTokenMs + LATENCY_WEIGHT * (firstTokenMs - this.#firstTokenMs);
  }

  noteOutcome(
    outcome: OutcomeKind,
    pool: { readonly poolSize: number; readonly ejectedCount: number },
    nowMs: number,
    random: Random,
  ): void {
    this.#health = recordOutcome(this.#health, outcome, nowMs, { ...pool, random });
  }

  toView(prefixKey: string | undefined): UpstreamView {
    return {
      id: this.id,
      dataCentre: asId<DataCentreId>(this.#spec.dataCentre),
      inFlight: this.#inFlight,
      sentSinceReport: Math.min(this.#sentAtMs.length, this.#inFlight),
      reportedRunning: this.#load?.running ?? 0,
      reportedQueued: this.#load?.queued ?? 0,
      reportAtMs: this.#loadAtMs,
      maxConcurrency: this.#spec.maxConcurrency,
      firstTokenMs: this.#firstTokenMs,
      ejectedUntilMs: this.#health.ejectedUntilMs,
      slowStartSinceMs: this.#health.slowStartSinceMs,
      isLeaving: this.#leaving.size > 0,
      hasPrefixCached: prefixKey !== undefined && this.#prefixes.has(prefixKey),
    };
  }
}

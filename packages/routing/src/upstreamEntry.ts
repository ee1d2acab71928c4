/** What a daemon knows of one upstream, and what it has in flight there. */
import { asId, type DataCentreId, type Random, type UpstreamId } from '@snipehaven/common';
import {
  adjustConcurrency,
  assignOwnSlots,
  createConcurrency,
  createHealth,
  getKnownLoad,
  getMaxConcurrency,
  recordOutcome,
  type ConcurrencyState,
  type OutcomeKind,
  type UpstreamHealth,
  type UpstreamView,
} from '@snipehaven/policy';
import type { Resource, UpstreamSpec } from '@snipehaven/resources';
import type { EngineLoad } from '@snipehaven/upstream';

const LATENCY_WEIGHT = 0.2;

/** Where the word came from that an upstream is leaving. */
export type LeavingSource = 'vmList' | 'engine' | 'operator';

/** Where the daemon and the upstream stand in the sorted lists of their data centre. */
export interface SlotPlace {
  readonly upstreamIndex: number;
  readonly daemonIndex: number;
  readonly daemonCount: number;
}

/** What an adaptive limit shrinks on. */
const ROOM_OUTCOMES: ReadonlySet<OutcomeKind> = new Set(['refused', 'timedOut']);

export class UpstreamEntry {
  readonly id: UpstreamId;

  #spec: UpstreamSpec;

  #health: UpstreamHealth;

  #load: EngineLoad | undefined;

  #loadAtMs = 0;

  /** When this daemon asked for the load that it knows, by the clock of the registry. */
  #loadReadAtMs = -Infinity;

  #inFlight = 0;

  #lastSentAtMs = -Infinity;

  #firstTokenMs = 0;

  /** Follows an engine's batch; services report none, and keep what the operator declared. */
  #concurrency: ConcurrencyState;

  /** When each of the requests sent after the last load report went out. */
  #sentAtMs: number[] = [];

  readonly #prefixes = new Set<string>();

  readonly #leaving = new Map<LeavingSource, number>();

  constructor(resource: Resource<'Upstream'>, nowMs: number) {
    this.id = asId<UpstreamId>(resource.metadata.name);
    this.#spec = resource.spec;
    this.#health = createHealth(nowMs);
    this.#concurrency = createConcurrency(resource.spec.maxConcurrency);
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

  /** Neither leaving nor ejected. */
  get isOpen(): boolean {
    return this.#leaving.size === 0 && this.#health.ejectedUntilMs === 0;
  }

  setSpec(spec: UpstreamSpec): void {
    if (spec.maxConcurrency !== this.#spec.maxConcurrency) {
      this.#concurrency = createConcurrency(spec.maxConcurrency);
    }
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

  /** When the known load was asked for; -Infinity: there is none. */
  get loadReadAtMs(): number {
    return this.#loadReadAtMs;
  }

  /** `askedAtMs` is of the registry's steady clock, unlike the report's own time. */
  noteLoad(load: EngineLoad, askedAtMs: number): void {
    this.#loadReadAtMs = askedAtMs;
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
    this.#adjustConcurrency(firstTokenMs, false);
  }

  noteOutcome(
    outcome: OutcomeKind,
    pool: { readonly poolSize: number; readonly ejectedCount: number },
    nowMs: number,
    random: Random,
  ): void {
    this.#health = recordOutcome(this.#health, outcome, nowMs, { ...pool, random });
    if (ROOM_OUTCOMES.has(outcome)) {
      this.#adjustConcurrency(this.#firstTokenMs, true);
    }
  }

  /** Without a place, as for other data centres' upstreams, the daemon has no slots of its own there. */
  toView(prefixKey?: string, place?: SlotPlace): UpstreamView {
    const limit = Math.min(this.#spec.maxConcurrency, getMaxConcurrency(this.#concurrency));
    const ownSlots = place && assignOwnSlots({ limit, ...place });
    return {
      id: this.id,
      dataCentre: asId<DataCentreId>(this.#spec.dataCentre),
      inFlight: this.#inFlight,
      sentSinceReport: Math.min(this.#sentAtMs.length, this.#inFlight),
      reportedRunning: this.#load?.running ?? 0,
      reportedQueued: this.#load?.queued ?? 0,
      reportAtMs: this.#loadAtMs,
      maxConcurrency: limit,
      ...(ownSlots === undefined ? {} : { ownSlots }),
      firstTokenMs: this.#firstTokenMs,
      ejectedUntilMs: this.#health.ejectedUntilMs,
      slowStartSinceMs: this.#health.slowStartSinceMs,
      isLeaving: this.#leaving.size > 0,
      hasPrefixCached: prefixKey !== undefined && this.#prefixes.has(prefixKey),
    };
  }

  /**
   * What goes wrong: a report of an idle engine, taken for none, leaves the limit to the times to the first
   * token, which differ by prompt and by this daemon's own load. One notices a limit of a few requests at an
   * engine without a queue. Nothing running tells nothing of the batch, and the limit stays.
   */
  #adjustConcurrency(firstTokenMs: number, isRefused: boolean): void {
    const reportedRunning = this.#load?.running ?? 0;
    const isTelling = isRefused || reportedRunning > 0;
    if (this.#spec.type === 'engine' && isTelling) {
      this.#concurrency = adjustConcurrency(this.#concurrency, {
        firstTokenMs,
        load: getKnownLoad(this.toView()),
        reportedRunning,
        reportedQueued: this.#load?.queued ?? 0,
        isRefused,
      });
    }
  }
}

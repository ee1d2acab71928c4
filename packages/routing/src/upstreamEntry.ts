/** A daemon's view of one upstream and of its own requests in flight there. */
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

const LATENCY_SMOOTHING = 0.2;

/** The source that reports an upstream as leaving. */
export type LeavingSource = 'vmList' | 'engine' | 'operator';

/** The positions of the daemon and the upstream in the sorted lists of their data centre. */
export interface SlotPlace {
  readonly upstreamIndex: number;
  readonly daemonIndex: number;
  readonly daemonCount: number;
}

/** Outcomes that reduce the adaptive concurrency limit. */
const OVERLOAD_OUTCOMES: ReadonlySet<OutcomeKind> = new Set(['refused', 'timedOut']);

export class UpstreamEntry {
  readonly id: UpstreamId;

  #spec: UpstreamSpec;

  #health: UpstreamHealth;

  #load: EngineLoad | undefined;

  #loadReportedAtMs = 0;

  /** When this daemon requested the current load report, by the registry's clock. */
  #loadRequestedAtMs = -Infinity;

  #inFlight = 0;

  #lastSentAtMs = -Infinity;

  #firstTokenMs = 0;

  /** Follows the batch size of an engine; services report no load and keep the configured limit. */
  #concurrency: ConcurrencyState;

  /** Send times of the requests sent after the last load report. */
  #sendTimesMs: number[] = [];

  readonly #cachedPrefixes = new Set<string>();

  readonly #leavingSinceBySource = new Map<LeavingSource, number>();

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

  /** When the last request was sent; -Infinity if none was. */
  get lastSentAtMs(): number {
    return this.#lastSentAtMs;
  }

  get health(): UpstreamHealth {
    return this.#health;
  }

  get load(): EngineLoad | undefined {
    return this.#load;
  }

  /** Since when the upstream is known to be leaving; undefined if it is not. */
  get leavingSinceMs(): number | undefined {
    return this.#leavingSinceBySource.size === 0
      ? undefined
      : Math.min(...this.#leavingSinceBySource.values());
  }

  /** Neither leaving nor ejected. */
  get isOpen(): boolean {
    return this.#leavingSinceBySource.size === 0 && this.#health.ejectedUntilMs === 0;
  }

  setSpec(spec: UpstreamSpec): void {
    if (spec.maxConcurrency !== this.#spec.maxConcurrency) {
      this.#concurrency = createConcurrency(spec.maxConcurrency);
    }
    this.#spec = spec;
  }

  /**
   * Uses the versions that the engine itself reported, if it did, instead of the configured ones.
   */
  servesVersion(version: string): boolean {
    return (this.#load?.versions ?? this.#spec.versions).includes(version);
  }

  /** Sets or clears one source's report that the upstream is leaving. */
  setLeaving(source: LeavingSource, isLeaving: boolean, nowMs: number): void {
    if (!isLeaving) {
      this.#leavingSinceBySource.delete(source);
    } else if (!this.#leavingSinceBySource.has(source)) {
      this.#leavingSinceBySource.set(source, nowMs);
    }
  }

  /** When the current load report was requested; -Infinity if there is none. */
  get loadRequestedAtMs(): number {
    return this.#loadRequestedAtMs;
  }

  /** `requestedAtMs` is a time of the registry's clock, unlike the time in the report. */
  updateLoad(load: EngineLoad, requestedAtMs: number): void {
    this.#loadRequestedAtMs = requestedAtMs;
    this.#load = load;
    this.#loadReportedAtMs = load.atMs;
    this.#sendTimesMs = this.#sendTimesMs.filter((sentAtMs) => sentAtMs > load.atMs);
  }

  /** Drops a report that will not be followed by newer ones and would become outdated. */
  clearLoad(): void {
    this.#load = undefined;
    this.#loadReportedAtMs = 0;
  }

  applyCacheEvent(kind: 'added' | 'evicted', prefix: string): void {
    if (kind === 'added') {
      this.#cachedPrefixes.add(prefix);
    } else {
      this.#cachedPrefixes.delete(prefix);
    }
  }

  /** Drops the known cache contents after cache events were missed. */
  clearCachedPrefixes(): void {
    this.#cachedPrefixes.clear();
  }

  recordSent(nowMs: number): void {
    this.#inFlight += 1;
    this.#lastSentAtMs = nowMs;
    this.#sendTimesMs.push(nowMs);
  }

  recordEnded(): void {
    this.#inFlight -= 1;
  }

  recordFirstToken(firstTokenMs: number): void {
    this.#firstTokenMs =
      this.#firstTokenMs === 0
        ? firstTokenMs
        : this.#firstTokenMs + LATENCY_SMOOTHING * (firstTokenMs - this.#firstTokenMs);
    this.#adjustConcurrency(firstTokenMs, false);
  }

  applyOutcome(
    outcome: OutcomeKind,
    pool: { readonly poolSize: number; readonly ejectedCount: number },
    nowMs: number,
    random: Random,
  ): void {
    this.#health = recordOutcome(this.#health, outcome, nowMs, { ...pool, random });
    if (OVERLOAD_OUTCOMES.has(outcome)) {
      this.#adjustConcurrency(this.#firstTokenMs, true);
    }
  }

  /**
   * Without a place, as for upstreams of other data centres, the daemon has no slots of its own
   * there.
   */
  toView(prefixKey?: string, place?: SlotPlace): UpstreamView {
    const limit = Math.min(this.#spec.maxConcurrency, getMaxConcurrency(this.#concurrency));
    const ownSlots = place && assignOwnSlots({ limit, ...place });
    return {
      id: this.id,
      dataCentre: asId<DataCentreId>(this.#spec.dataCentre),
      inFlight: this.#inFlight,
      sentSinceReport: Math.min(this.#sendTimesMs.length, this.#inFlight),
      reportedRunning: this.#load?.running ?? 0,
      reportedQueued: this.#load?.queued ?? 0,
      reportAtMs: this.#loadReportedAtMs,
      maxConcurrency: limit,
      ...(ownSlots === undefined ? {} : { ownSlots }),
      firstTokenMs: this.#firstTokenMs,
      ejectedUntilMs: this.#health.ejectedUntilMs,
      slowStartSinceMs: this.#health.slowStartSinceMs,
      isLeaving: this.#leavingSinceBySource.size > 0,
      hasPrefixCached: prefixKey !== undefined && this.#cachedPrefixes.has(prefixKey),
    };
  }

  /**
   * If the report of an idle engine were treated as no report, the limit would follow the times to
   * first token, which vary with the prompt and with this daemon's own load, and an engine without
   * a queue would end up with a limit of a few requests. While nothing is running, nothing is known
   * about the batch, so the limit is not changed.
   */
  #adjustConcurrency(firstTokenMs: number, isRefused: boolean): void {
    const reportedRunning = this.#load?.running ?? 0;
    const isInformative = isRefused || reportedRunning > 0;
    if (this.#spec.type === 'engine' && isInformative) {
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

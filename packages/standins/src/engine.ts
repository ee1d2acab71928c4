/** Core of a model engine: continuous batching, resumable streams, prefix cache, orders. */
import { createRandom, type Random } from '@snipehaven/common';
import { Batch } from './batch.js';
import {
  DEFAULT_CACHE_EVENT_DELAY_MS,
  DEFAULT_KEEP_STREAM_MS,
  DEFAULT_LOAD_PERIOD_MS,
} from './constants.js';
import { EngineLoadReport } from './engineLoadReport.js';
import { EngineOrders } from './engineOrders.js';
import type {
  EngineFaults,
  EngineLoad,
  EngineOptions,
  EngineOrder,
  EngineRequest,
  EngineSizes,
  EngineTruth,
  StartedStream,
  StreamAnswer,
  StreamListener,
  StreamState,
  StreamTruth,
  Unsubscribe,
} from './engineTypes.js';
import { DuplicateStreamError, NotStartedError, UnknownStreamError } from './errors.js';
import { FaultGate } from './faultGate.js';
import { pickGiven } from './pickGiven.js';
import { PrefixCache } from './prefixCache.js';
import { StreamRun, type RunPlan } from './streamRun.js';

export const DEFAULT_ENGINE_SIZES: EngineSizes = {
  tokenMs: 20,
  tokenMsPerRunning: 0.2,
  prefillMsPerToken: 0.1,
  chunkTokens: 1,
  maxRunning: 32,
  maxQueued: 64,
  kvTokens: 200_000,
  cacheTokens: 50_000,
  cacheEventDelayMs: DEFAULT_CACHE_EVENT_DELAY_MS,
  cacheEventLossRate: 0.02,
  loadPeriodMs: DEFAULT_LOAD_PERIOD_MS,
  versionLoadMs: 2000,
  keepStreamMs: DEFAULT_KEEP_STREAM_MS,
};

export const NO_ENGINE_FAULTS: EngineFaults = {
  isRefusing: false,
  refuseRate: 0,
  refuseStatus: 503,
  crashRate: 0,
  crashNext: 0,
  dropRate: 0,
  dropNext: 0,
  versionFaults: {},
};

const REFUSED_RETRY_AFTER_MS = 1000;

/** The counts of the truth, added to as things happen. */
interface EngineCounts {
  started: number;
  finished: number;
  cancelled: number;
  crashed: number;
  refused: number;
  duplicates: number;
  startedWhileLeaving: number;
  promptTokens: number;
  cachedTokens: number;
  completionTokens: number;
}

const createCounts = (): EngineCounts => ({
  started: 0,
  finished: 0,
  cancelled: 0,
  crashed: 0,
  refused: 0,
  duplicates: 0,
  startedWhileLeaving: 0,
  promptTokens: 0,
  cachedTokens: 0,
  completionTokens: 0,
});

const pickSizes = (options: EngineOptions): Partial<EngineSizes> => {
  const names = Object.keys(DEFAULT_ENGINE_SIZES) as (keyof EngineSizes)[];
  return pickGiven(Object.fromEntries(names.map((name) => [name, options[name]])));
};

/** An engine, usable in-process. Its methods don't pass the gate: callers at an edge do. */
export class EngineCore {
  readonly gate: FaultGate;

  readonly #random: Random;

  readonly #refusesWhenLeaving: boolean;

  readonly #recordsStreams: boolean;

  readonly #cache: PrefixCache;

  readonly #batch: Batch;

  readonly #loadReport: EngineLoadReport;

  readonly #orders: EngineOrders;

  readonly #runs = new Map<string, StreamRun>();

  /** Ended runs in the order of their end, to be forgotten. */
  #ended: StreamRun[] = [];

  /** What became of the forgotten runs, where streams are recorded. */
  readonly #archive: StreamTruth[] = [];

  readonly #counts = createCounts();

  #sizes: EngineSizes;

  #faults = NO_ENGINE_FAULTS;

  #leavingSinceMs: number | undefined;

  #bootMs = Date.now();

  constructor(options: EngineOptions) {
    this.#random = options.random ?? createRandom(1);
    this.gate = new FaultGate(this.#random);
    this.#sizes = { ...DEFAULT_ENGINE_SIZES, ...pickSizes(options) };
    this.#refusesWhenLeaving = options.refusesWhenLeaving ?? false;
    this.#recordsStreams = options.recordsStreams ?? true;
    this.#cache = new PrefixCache(this.#getCacheOptions(), this.#random);
    this.#orders = this.#createOrders(options);
    this.#batch = new Batch(
      this.#sizes,
      (run) => this.#useCache(run),
      (run) => this.#finish(run),
    );
    this.#loadReport = new EngineLoadReport(this.#sizes.loadPeriodMs, () => this.#getLoadNow());
  }

  get isLeaving(): boolean {
    return this.#leavingSinceMs !== undefined;
  }

  /**
   * Starts a run; an engine without token time has finished it on return.
   * Throws {@link NotStartedError} or {@link DuplicateStreamError}; nothing ran then.
   */
  start(request: EngineRequest): StartedStream {
    this.#loadReport.refresh();
    this.#forgetEnded();
    this.#checkDuplicate(request.streamId);
    this.#checkAdmission(request);
    const run = new StreamRun(request, this.#planRun(request));
    this.#register(run);
    this.#batch.add(run);
    return run;
  }

  /** Hands the events above the number to the listener, now and as they come. */
  resume(streamId: string, fromId: number, listener: StreamListener): Unsubscribe {
    return this.#getRun(streamId).subscribe(fromId, listener);
  }

  /** Cancels a stream that still runs; returns the state after it. */
  cancel(streamId: string): StreamState {
    this.#loadReport.refresh();
    const run = this.#getRun(streamId);
    this.#stopRun(run, false);
    return run.getState();
  }

  getState(streamId: string): StreamState {
    return this.#getRun(streamId).getState();
  }

  /** The answer so far; whole when its state is `finished`. */
  getAnswer(streamId: string): StreamAnswer {
    return this.#getRun(streamId).getAnswer();
  }

  /** The load as last published. */
  getLoad(): EngineLoad {
    return this.#loadReport.get();
  }

  listCacheEvents(afterSeq: number): ReturnType<PrefixCache['listEvents']> {
    return this.#cache.listEvents(afterSeq);
  }

  /** Obeys an order, or throws a `StaleFenceError` where fences are checked. */
  order(order: EngineOrder): void {
    this.#orders.accept(order);
  }

  /** Begins or ends to leave. */
  setLeaving(isLeaving: boolean): void {
    this.#loadReport.refresh();
    this.#leavingSinceMs = isLeaving ? (this.#leavingSinceMs ?? Date.now()) : undefined;
  }

  setFaults(faults: Partial<EngineFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  clearFaults(): void {
    this.#faults = NO_ENGINE_FAULTS;
  }

  setSizes(sizes: Partial<EngineSizes>): void {
    this.#loadReport.refresh();
    this.#sizes = { ...this.#sizes, ...sizes };
    this.#cache.setOptions(this.#getCacheOptions());
    this.#loadReport.setPeriod(this.#sizes.loadPeriodMs);
    this.#batch.setSizes(this.#sizes);
    this.#orders.setVersionLoadMs(this.#sizes.versionLoadMs);
  }

  /** Crashes all streams that run. */
  crashStreams(): void {
    this.#loadReport.refresh();
    this.#batch.clear().forEach((run) => this.#stopRun(run, true));
  }

  /** Dies and comes back at once: streams die and are forgotten, the cache is empty. */
  restart(): void {
    this.crashStreams();
    [...this.#runs.values()].forEach((run) => this.#forget(run));
    this.#ended = [];
    this.#orders.versions.forEach((version) => this.#cache.dropVersion(version));
    this.#bootMs = Date.now();
  }

  /** Stops all timers. */
  stop(): void {
    this.#orders.stop();
    this.#batch.clear();
  }

  /** What really happened; without the streams when only the counts are wanted. */
  getTruth(hasStreams = true): EngineTruth {
    return {
      gate: this.gate.getTruth(),
      bootMs: this.#bootMs,
      versions: [...this.#orders.versions],
      role: this.#orders.role,
      ...this.#counts,
      running: this.#batch.runningCount,
      queued: this.#batch.queuedCount,
      orders: this.#orders.history,
      prefixes: this.#cache.listPrefixes(),
      streams: hasStreams && this.#recordsStreams ? this.#listStreams() : [],
    };
  }

  #createOrders(options: EngineOptions): EngineOrders {
    return new EngineOrders(
      {
        versions: options.versions,
        checksFences: options.checksFences ?? true,
        fetchWeights: options.fetchWeights,
        beforeChange: () => this.#loadReport.refresh(),
        onUnload: (version) => this.#cache.dropVersion(version),
      },
      this.#sizes.versionLoadMs,
    );
  }

  #getRun(streamId: string): StreamRun {
    this.#forgetEnded();
    const run = this.#runs.get(streamId);
    if (!run) {
      throw new UnknownStreamError(streamId, this.#bootMs);
    }
    return run;
  }

  #checkDuplicate(streamId: string): void {
    const existing = this.#runs.get(streamId);
    if (existing) {
      existing.duplicateStarts += 1;
      this.#counts.duplicates += 1;
      throw new DuplicateStreamError(`stream ${streamId} was started before`);
    }
  }

  #checkAdmission(request: EngineRequest): void {
    const reason = this.#getRefusal(request);
    if (reason) {
      this.#counts.refused += 1;
      throw new NotStartedError(reason, this.#faults.refuseStatus, REFUSED_RETRY_AFTER_MS);
    }
  }

  #getRefusal({ versionId }: EngineRequest): string | undefined {
    if (!this.#orders.versions.has(versionId)) {
      return `version ${versionId} is not loaded`;
    }
    if (this.#batch.isFull) {
      return 'no capacity';
    }
    if (this.isLeaving && this.#refusesWhenLeaving) {
      return 'leaving';
    }
    return this.#faults.isRefusing || this.#isHit(this.#faults.refuseRate) ? 'refusing' : undefined;
  }

  #planRun(request: EngineRequest): RunPlan {
    const hasCrash = this.#takeNext('crashNext') || this.#isHit(this.#faults.crashRate);
    const hasDrop = this.#takeNext('dropNext') || this.#isHit(this.#faults.dropRate);
    return {
      chunkTokens: this.#sizes.chunkTokens,
      versionFault: this.#faults.versionFaults[request.versionId],
      crashAt: hasCrash ? this.#random.next() : undefined,
      dropAt: hasDrop ? this.#random.next() : undefined,
      startedAfterLeavingMs:
        this.#leavingSinceMs === undefined ? undefined : Date.now() - this.#leavingSinceMs,
    };
  }

  #takeNext(name: 'crashNext' | 'dropNext'): boolean {
    const left = this.#faults[name];
    if (left === 0) {
      return false;
    }
    this.#faults = { ...this.#faults, [name]: left - 1 };
    return true;
  }

  #isHit(rate: number): boolean {
    return rate > 0 && this.#random.next() < rate;
  }

  #register(run: StreamRun): void {
    this.#runs.set(run.request.streamId, run);
    this.#counts.started += 1;
    this.#counts.startedWhileLeaving += this.isLeaving ? 1 : 0;
  }

  #useCache(run: StreamRun): number {
    const cachedTokens = this.#cache.use(run.request.versionId, run.promptText);
    this.#counts.promptTokens += run.promptTokens;
    this.#counts.cachedTokens += cachedTokens;
    return cachedTokens;
  }

  #stopRun(run: StreamRun, isCrash: boolean): void {
    if (run.state !== 'running') {
      return;
    }
    run.cancel(isCrash);
    this.#batch.remove(run);
    this.#finish(run);
    run.flush();
  }

  /** Accounts for a run that has ended. */
  #finish(run: StreamRun): void {
    this.#loadReport.refresh();
    this.#ended.push(run);
    this.#counts.completionTokens += run.producedTokens;
    this.#counts.finished += run.state === 'finished' ? 1 : 0;
    this.#counts.cancelled += run.state === 'cancelled' && !run.isCrashed ? 1 : 0;
    this.#counts.crashed += run.isCrashed ? 1 : 0;
  }

  #forgetEnded(): void {
    const limitMs = performance.now() - this.#sizes.keepStreamMs;
    let count = 0;
    for (let run = this.#ended[0]; run && run.endedAtMs < limitMs; run = this.#ended[count]) {
      this.#forget(run);
      count += 1;
    }
    if (count > 0) {
      this.#ended.splice(0, count);
    }
  }

  #forget(run: StreamRun): void {
    this.#runs.delete(run.request.streamId);
    if (this.#recordsStreams) {
      this.#archive.push(run.getTruth());
    }
  }

  #listStreams(): readonly StreamTruth[] {
    return [...this.#archive, ...[...this.#runs.values()].map((run) => run.getTruth())];
  }

  #getLoadNow(): Omit<EngineLoad, 'atMs'> {
    return {
      running: this.#batch.runningCount,
      queued: this.#batch.queuedCount,
      kvUsedPct: this.#batch.kvUsedPct,
      versions: [...this.#orders.versions],
      leaving: this.isLeaving,
    };
  }

  #getCacheOptions(): ConstructorParameters<typeof PrefixCache>[0] {
    return {
      capacityTokens: this.#sizes.cacheTokens,
      eventDelayMs: this.#sizes.cacheEventDelayMs,
      eventLossRate: this.#sizes.cacheEventLossRate,
    };
  }
}

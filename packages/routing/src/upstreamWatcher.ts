/** Polls the engines and the platform's VM list for the state of upstreams. */
import { type Logger, type Random, getErrorMessage, sleep } from '@snipehaven/common';
import type { VmListClient } from '@snipehaven/platform';
import type { EngineClient } from '@snipehaven/upstream';
import { PollRotation } from './pollRotation.js';
import type { UpstreamEntry } from './upstreamEntry.js';
import type { UpstreamRegistry } from './upstreamRegistry.js';

export interface UpstreamWatcherOptions {
  readonly registry: UpstreamRegistry;
  readonly engines: EngineClient;
  readonly vmList: VmListClient;
  readonly localDataCentre: string;
  readonly logger: Logger;
  readonly random: Random;
  readonly settings: UpstreamWatcherSettings;
}

export interface UpstreamWatcherSettings {
  readonly loadIntervalMs: number;
  readonly cacheEventsIntervalMs: number;
  readonly vmListIntervalMs: number;
}

const JITTER_SHARE = 0.2;
/** Engines of other data centres are polled at this multiple of the interval. */
const REMOTE_INTERVAL_FACTOR = 2;
/** How long a remote engine is polled after the last request to it. */
const REMOTE_WATCH_MS = 30_000;

export class UpstreamWatcher {
  readonly #options: UpstreamWatcherOptions;

  readonly #stopped = new AbortController();

  readonly #lastCacheEventSeq = new Map<string, number>();

  readonly #pollsInFlight = new Set<UpstreamEntry>();

  readonly #loadRotation: PollRotation;

  readonly #cacheEventRotation: PollRotation;

  constructor(options: UpstreamWatcherOptions) {
    this.#options = options;
    const { random, settings } = options;
    this.#loadRotation = new PollRotation(settings.loadIntervalMs, random);
    this.#cacheEventRotation = new PollRotation(settings.cacheEventsIntervalMs, random);
  }

  start(): void {
    const { settings, registry } = this.#options;
    void this.#pollEvery(settings.loadIntervalMs, () => this.#pollLoads());
    const remoteIntervalMs = settings.loadIntervalMs * REMOTE_INTERVAL_FACTOR;
    void this.#pollEvery(remoteIntervalMs, () => this.#pollRemoteLoads());
    void this.#pollEvery(settings.cacheEventsIntervalMs, () => this.#pollCacheEvents());
    void this.#pollEvery(settings.vmListIntervalMs, () => this.#pollVmList());
    registry.freshness.setReader({
      readLoad: (entry) => this.#pollLoad(entry),
      readVmList: () => this.#pollVmList(),
    });
    const stopListening = registry.onRefusal((entry) => this.#pollAfterRefusal(entry));
    this.#stopped.signal.addEventListener('abort', stopListening, { once: true });
  }

  stop(): void {
    this.#stopped.abort();
  }

  async #pollEvery(intervalMs: number, action: () => Promise<void>): Promise<void> {
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      await action().catch((error: unknown) => this.#logError(error));
      const jitter = 1 + JITTER_SHARE * (this.#options.random.next() - 0.5);
      await sleep(intervalMs * jitter, signal);
    }
  }

  #logError(error: unknown): void {
    this.#options.logger.debug({ error: getErrorMessage(error) }, 'failed to poll upstreams');
  }

  #listAllEngines(): readonly UpstreamEntry[] {
    return this.#options.registry.list().filter((entry) => entry.spec.type === 'engine');
  }

  /** Engines of the local data centre, which are polled all the time. */
  #listEngines(): readonly UpstreamEntry[] {
    const { localDataCentre } = this.#options;
    return this.#listAllEngines().filter((entry) => entry.spec.dataCentre === localDataCentre);
  }

  async #pollLoads(): Promise<void> {
    await this.#pollEach(this.#loadRotation.takeNext(this.#listEngines()));
  }

  /**
   * Requests can spill over to an engine of another data centre that is leaving: only the daemons
   * there see its announcement at once, and the VM list lags behind, so the engine would start runs
   * while leaving. Remote engines that this daemon uses are therefore polled directly, and so are
   * those that reported that they are leaving, until they revoke it. Polling all engines all the
   * time would be too expensive.
   */
  async #pollRemoteLoads(): Promise<void> {
    const { localDataCentre } = this.#options;
    const remote = this.#listAllEngines().filter(({ spec }) => spec.dataCentre !== localDataCentre);
    const isWatched = (entry: UpstreamEntry): boolean =>
      entry.load?.leaving === true || Date.now() - entry.lastSentAtMs < REMOTE_WATCH_MS;
    remote.filter((entry) => !isWatched(entry)).forEach((entry) => entry.clearLoad());
    await this.#pollEach(remote.filter(isWatched));
  }

  /** A refusal may be the first sign that an engine is leaving, so it is polled immediately. */
  #pollAfterRefusal(entry: UpstreamEntry): void {
    if (entry.spec.type === 'engine') {
      void this.#pollEach([entry]);
    }
  }

  async #pollEach(entries: readonly UpstreamEntry[]): Promise<void> {
    const idle = entries.filter((entry) => !this.#pollsInFlight.has(entry));
    await Promise.allSettled(idle.map((entry) => this.#pollLoad(entry)));
  }

  async #pollLoad(entry: UpstreamEntry): Promise<void> {
    this.#pollsInFlight.add(entry);
    try {
      const { registry, engines } = this.#options;
      const requestedAtMs = registry.freshness.nowMs;
      const load = await engines.getLoad(entry.spec.url);
      registry.updateLoad(entry, load, requestedAtMs);
    } finally {
      this.#pollsInFlight.delete(entry);
    }
  }

  async #pollCacheEvents(): Promise<void> {
    const engines = this.#cacheEventRotation.takeNext(this.#listEngines());
    const polls = engines.map((entry) => this.#pollEvents(entry));
    await Promise.allSettled(polls);
  }

  /**
   * Cache events arrive late and with gaps. After a gap the known prefixes may have been evicted,
   * and prefix affinity would route requests to an engine for no benefit. They are dropped and
   * learnt again.
   */
  async #pollEvents(entry: UpstreamEntry): Promise<void> {
    const afterSeq = this.#lastCacheEventSeq.get(entry.id) ?? 0;
    const page = await this.#options.engines.fetchCacheEvents(entry.spec.url, afterSeq);
    const firstSeq = page.events[0]?.seq ?? afterSeq + 1;
    if (firstSeq > afterSeq + 1) {
      entry.clearCachedPrefixes();
    }
    page.events.forEach((event) => entry.applyCacheEvent(event.kind, event.prefix));
    this.#lastCacheEventSeq.set(entry.id, page.lastSeq);
  }

  async #pollVmList(): Promise<void> {
    const vms = await this.#options.vmList.list();
    const leaving = new Set(
      vms.filter((vm) => vm.role === 'upstream' && vm.state === 'leaving').map((vm) => vm.address),
    );
    this.#options.registry.freshness.recordVmListRead();
    this.#options.registry.list().forEach((entry) => {
      const { host } = new URL(entry.spec.url);
      this.#options.registry.setLeaving(entry.id, 'vmList', leaving.has(host));
    });
  }
}

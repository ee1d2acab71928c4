/** Learns from the engines and the platform's VM list how upstreams are doing. */
import { type Logger, type Random, getErrorMessage, sleep } from '@snipehaven/common';
import type { VmListClient } from '@snipehaven/platform';
import type { EngineClient } from '@snipehaven/upstream';
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

export class UpstreamWatcher {
  readonly #options: UpstreamWatcherOptions;

  readonly #stopped = new AbortController();

  readonly #cacheSeq = new Map<string, number>();

  constructor(options: UpstreamWatcherOptions) {
    this.#options = options;
  }

  start(): void {
    const { settings } = this.#options;
    void this.#repeat(settings.loadIntervalMs, () => this.#pollLoads());
    void this.#repeat(settings.cacheEventsIntervalMs, () => this.#pollCacheEvents());
    void this.#repeat(settings.vmListIntervalMs, () => this.#pollVmList());
  }

  stop(): void {
    this.#stopped.abort();
  }

  async #repeat(intervalMs: number, action: () => Promise<void>): Promise<void> {
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      await action().catch((error: unknown) => this.#note(error));
      const jitter = 1 + JITTER_SHARE * (this.#options.random.next() - 0.5);
      await sleep(intervalMs * jitter, signal);
    }
  }

  #note(error: unknown): void {
    this.#options.logger.debug({ error: getErrorMessage(error) }, 'watching upstreams failed');
  }

  /** Engines of the own data centre; the others are watched by their own daemons. */
  #listEngines(): readonly UpstreamEntry[] {
    const { registry, localDataCentre } = this.#options;
    return registry
      .list()
      .filter((entry) => entry.spec.type === 'engine')
      .filter((entry) => entry.spec.dataCentre === localDataCentre);
  }

  async #pollLoads(): Promise<void> {
    const polls = this.#listEngines().map((entry) => this.#pollLoad(entry));
    await Promise.allSettled(polls);
  }

  async #pollLoad(entry: UpstreamEntry): Promise<void> {
    const load = await this.#options.engines.getLoad(entry.spec.url);
    entry.noteLoad(load);
    this.#options.registry.noteLeaving(entry.id, 'engine', load.leaving);
  }

  async #pollCacheEvents(): Promise<void> {
    const polls = this.#listEngines().map((entry) => this.#pollEvents(entry));
    await Promise.allSettled(polls);
  }

  /**
   * Events come late and with gaps. After a gap the known prefixes may be long gone, and affinity to them
   * would send requests to an engine for nothing: they are forgotten, and learnt again.
   */
  async #pollEvents(entry: UpstreamEntry): Promise<void> {
    const afterSeq = this.#cacheSeq.get(entry.id) ?? 0;
    const page = await this.#options.engines.fetchCacheEvents(entry.spec.url, afterSeq);
    const firstSeq = page.events[0]?.seq ?? afterSeq + 1;
    if (firstSeq > afterSeq + 1) {
      entry.forgetPrefixes();
    }
    page.events.forEach((event) => entry.noteCacheEvent(event.kind, event.prefix));
    this.#cacheSeq.set(entry.id, page.lastSeq);
  }

  async #pollVmList(): Promise<void> {
    const vms = await this.#options.vmList.list();
    const leaving = new Set(
      vms.filter((vm) => vm.role === 'upstream' && vm.state === 'leaving').map((vm) => vm.address),
    );
    this.#options.registry.list().forEach((entry) => {
      const { host } = new URL(entry.spec.url);
      this.#options.registry.noteLeaving(entry.id, 'vmList', leaving.has(host));
    });
  }
}

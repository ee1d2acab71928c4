/** Learns from the engines and the platform's VM list how upstreams are doing. */
import { type Logger, type Random, getErrorMessage, sleep } from '@snipehaven/common';
import type { VmListClient } from '@snipehaven/platform';
import type { EngineClient } from '@snipehaven/upstream';
import { PollTurns } from './pollTurns.js';
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
/** Engines of other data centres are asked this many times more seldom. */
const REMOTE_INTERVAL_FACTOR = 2;
/** So long after a request went there. */
const REMOTE_USE_MS = 30_000;

export class UpstreamWatcher {
  readonly #options: UpstreamWatcherOptions;

  readonly #stopped = new AbortController();

  readonly #cacheSeq = new Map<string, number>();

  readonly #polling = new Set<UpstreamEntry>();

  readonly #loadTurns: PollTurns;

  readonly #eventTurns: PollTurns;

  constructor(options: UpstreamWatcherOptions) {
    this.#options = options;
    const { random, settings } = options;
    this.#loadTurns = new PollTurns(settings.loadIntervalMs, random);
    this.#eventTurns = new PollTurns(settings.cacheEventsIntervalMs, random);
  }

  start(): void {
    const { settings, registry } = this.#options;
    void this.#repeat(settings.loadIntervalMs, () => this.#pollLoads());
    const remoteIntervalMs = settings.loadIntervalMs * REMOTE_INTERVAL_FACTOR;
    void this.#repeat(remoteIntervalMs, () => this.#pollRemoteLoads());
    void this.#repeat(settings.cacheEventsIntervalMs, () => this.#pollCacheEvents());
    void this.#repeat(settings.vmListIntervalMs, () => this.#pollVmList());
    registry.freshness.setReader({
      readLoad: (entry) => this.#pollLoad(entry),
      readVmList: () => this.#pollVmList(),
    });
    const stopListening = registry.onRefusal((entry) => this.#askAfterRefusal(entry));
    this.#stopped.signal.addEventListener('abort', stopListening, { once: true });
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

  #listAllEngines(): readonly UpstreamEntry[] {
    return this.#options.registry.list().filter((entry) => entry.spec.type === 'engine');
  }

  /** Engines of the own data centre, which are watched all the time. */
  #listEngines(): readonly UpstreamEntry[] {
    const { localDataCentre } = this.#options;
    return this.#listAllEngines().filter((entry) => entry.spec.dataCentre === localDataCentre);
  }

  async #pollLoads(): Promise<void> {
    await this.#pollEach(this.#loadTurns.take(this.#listEngines()));
  }

  /**
   * What goes wrong: requests spill to an engine of another data centre that is leaving, as only the
   * daemons there hear of it at once; the VM list lags. One notices runs that an engine started while
   * leaving. Engines that this daemon uses are therefore asked by itself, and so are those that said they
   * leave, until they take it back. All engines at all times would be too many to ask.
   */
  async #pollRemoteLoads(): Promise<void> {
    const { localDataCentre } = this.#options;
    const remote = this.#listAllEngines().filter(({ spec }) => spec.dataCentre !== localDataCentre);
    const isWatched = (entry: UpstreamEntry): boolean =>
      entry.load?.leaving === true || Date.now() - entry.lastSentAtMs < REMOTE_USE_MS;
    remote.filter((entry) => !isWatched(entry)).forEach((entry) => entry.forgetLoad());
    await this.#pollEach(remote.filter(isWatched));
  }

  /** A refusal may be the first word of an engine that leaves: it is asked without waiting. */
  #askAfterRefusal(entry: UpstreamEntry): void {
    if (entry.spec.type === 'engine') {
      void this.#pollEach([entry]);
    }
  }

  async #pollEach(entries: readonly UpstreamEntry[]): Promise<void> {
    const idle = entries.filter((entry) => !this.#polling.has(entry));
    await Promise.allSettled(idle.map((entry) => this.#pollLoad(entry)));
  }

  async #pollLoad(entry: UpstreamEntry): Promise<void> {
    this.#polling.add(entry);
    try {
      const { registry, engines } = this.#options;
      const askedAtMs = registry.freshness.nowMs;
      const load = await engines.getLoad(entry.spec.url);
      registry.noteLoad(entry, load, askedAtMs);
    } finally {
      this.#polling.delete(entry);
    }
  }

  async #pollCacheEvents(): Promise<void> {
    const engines = this.#eventTurns.take(this.#listEngines());
    const polls = engines.map((entry) => this.#pollEvents(entry));
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
    this.#options.registry.freshness.noteVmListRead();
    this.#options.registry.list().forEach((entry) => {
      const { host } = new URL(entry.spec.url);
      this.#options.registry.noteLeaving(entry.id, 'vmList', leaving.has(host));
    });
  }
}

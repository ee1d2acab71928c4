/** Orders to an engine: which versions it has loaded, its role, and the fence of its master. */
import { sleep } from '@snipehaven/common';
import type { EngineOrder, EngineOrderKind, FetchWeights, OrderTruth } from './engineTypes.js';
import { InvalidCallError, RateLimitedError, StaleFenceError } from './errors.js';

export interface EngineOrdersOptions {
  readonly versions: readonly string[];
  readonly checksFences: boolean;
  readonly fetchWeights: FetchWeights | undefined;
  /** Called before the set of versions changes. */
  readonly beforeChange: () => void;
  readonly onUnload: (version: string) => void;
}

const DEFAULT_ROLE = 'both';
const WEIGHTS_RETRY_MS = 500;
const WEIGHTS_TIMEOUT_MS = 5000;

const getRetryMs = (error: unknown): number =>
  error instanceof RateLimitedError ? error.retryAfterMs : WEIGHTS_RETRY_MS;

const getVersion = (order: EngineOrder): string => {
  if (order.version === undefined) {
    throw new InvalidCallError(`${order.kind} needs a version`);
  }
  return order.version;
};

/** Obeys orders, or refuses those with an old fence where fences are checked. */
export class EngineOrders {
  readonly #options: EngineOrdersOptions;

  readonly #versions: Set<string>;

  /** Versions on their way in; aborted when they are ordered out again. */
  readonly #loading = new Map<string, AbortController>();

  readonly #history: OrderTruth[] = [];

  readonly #handlers: Readonly<Record<EngineOrderKind, (order: EngineOrder) => void>> = {
    loadVersion: (order) => this.#startLoading(getVersion(order)),
    unloadVersion: (order) => this.#unload(getVersion(order)),
    setRole: ({ role }) => {
      this.#role = role ?? DEFAULT_ROLE;
    },
  };

  #versionLoadMs: number;

  #role = DEFAULT_ROLE;

  #highestFence = 0;

  constructor(options: EngineOrdersOptions, versionLoadMs: number) {
    this.#options = options;
    this.#versions = new Set(options.versions);
    this.#versionLoadMs = versionLoadMs;
  }

  /** The versions that serve. */
  get versions(): ReadonlySet<string> {
    return this.#versions;
  }

  get role(): string {
    return this.#role;
  }

  /** All orders that came, obeyed or not. */
  get history(): readonly OrderTruth[] {
    return this.#history;
  }

  setVersionLoadMs(versionLoadMs: number): void {
    this.#versionLoadMs = versionLoadMs;
  }

  /** Accepts an order or throws {@link StaleFenceError}. */
  accept(order: EngineOrder): void {
    const isStale = order.fence < this.#highestFence;
    const isObeyed = !(isStale && this.#options.checksFences);
    this.#history.push({ ...order, atMs: Date.now(), isObeyed });
    if (!isObeyed) {
      throw new StaleFenceError(this.#highestFence);
    }
    this.#highestFence = Math.max(this.#highestFence, order.fence);
    this.#handlers[order.kind](order);
  }

  /** Gives up loads under way. */
  stop(): void {
    this.#loading.forEach((controller) => controller.abort());
    this.#loading.clear();
  }

  #startLoading(version: string): void {
    if (this.#versions.has(version) || this.#loading.has(version)) {
      return;
    }
    const controller = new AbortController();
    this.#loading.set(version, controller);
    void this.#load(version, controller.signal);
  }

  async #load(version: string, signal: AbortSignal): Promise<void> {
    await this.#waitForWeights(version, signal);
    await sleep(this.#versionLoadMs, signal);
    if (!signal.aborted) {
      this.#options.beforeChange();
      this.#loading.delete(version);
      this.#versions.add(version);
    }
  }

  /** The weight store limits its rate and may be down: the engine asks until it has the weights. */
  async #waitForWeights(version: string, signal: AbortSignal): Promise<void> {
    const { fetchWeights } = this.#options;
    let hasWeights = fetchWeights === undefined;
    while (fetchWeights && !hasWeights && !signal.aborted) {
      try {
        // A reply that never comes would leave the version loading for good.
        hasWeights = await Promise.race([
          fetchWeights(version).then(() => true),
          sleep(WEIGHTS_TIMEOUT_MS, signal).then(() => false),
        ]);
      } catch (error) {
        await sleep(getRetryMs(error), signal);
      }
    }
  }

  #unload(version: string): void {
    this.#options.beforeChange();
    this.#loading.get(version)?.abort();
    this.#loading.delete(version);
    this.#versions.delete(version);
    this.#options.onUnload(version);
  }
}

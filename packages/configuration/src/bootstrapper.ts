/** Loads the initial configuration of a daemon from the first available source. */
import { getErrorMessage, type Logger, type Random } from '@snipehaven/common';
import type { MembershipView } from '@snipehaven/membership';
import type { Member } from '@snipehaven/protocol';
import { getBackoffMs, runRepeatedly } from './backoff.js';
import type { ConfigurationSettings } from './constants.js';
import type { Readiness } from './readiness.js';
import type { SafeMoveTable } from './safeMoves/safeMoveTable.js';
import type { SnapshotStore } from './snapshotStore.js';
import type { Synchroniser } from './synchroniser.js';

export interface BootstrapperOptions {
  readonly readiness: Readiness;
  readonly synchroniser: Synchroniser;
  readonly safeMoveTable: SafeMoveTable;
  readonly snapshots: SnapshotStore;
  readonly membership: MembershipView;
  readonly random: Random;
  readonly logger: Logger;
  readonly settings: ConfigurationSettings;
}

/** A source of configurations; `load` rejects if it has none. */
interface BootSource {
  readonly name: string;
  load(): Promise<void>;
}

const MAX_PEERS_TRIED = 3;

export class Bootstrapper {
  readonly #options: BootstrapperOptions;

  readonly #sources: readonly BootSource[];

  #failures = 0;

  constructor(options: BootstrapperOptions) {
    this.#options = options;
    this.#sources = [
      { name: 'peers', load: () => this.#loadFromPeers() },
      { name: 'table', load: () => this.#loadFromTable() },
      { name: 'objectStore', load: () => this.#loadFromObjectStore() },
    ];
  }

  /** Retries until a source has provided a configuration. */
  async run(signal: AbortSignal): Promise<void> {
    const booted = new AbortController();
    const ended = AbortSignal.any([signal, booted.signal]);
    await runRepeatedly(async () => {
      if (await this.#tryAllSources()) {
        this.#options.readiness.markLoaded();
        booted.abort();
      }
      return this.#getWaitMs();
    }, ended);
  }

  async #tryAllSources(): Promise<boolean> {
    for (const source of this.#sources) {
      if (await this.#trySource(source)) {
        return true;
      }
    }
    this.#failures += 1;
    return false;
  }

  async #trySource({ name, load }: BootSource): Promise<boolean> {
    const { logger } = this.#options;
    try {
      await load();
      logger.info({ source: name }, 'configuration loaded');
      return true;
    } catch (error) {
      logger.warn(
        { source: name, fault: getErrorMessage(error) },
        'could not load the configuration from the source',
      );
      return false;
    }
  }

  async #loadFromPeers(): Promise<void> {
    let lastError: unknown = new Error('no peers are known yet');
    for (const peer of this.#pickPeers()) {
      try {
        await this.#options.synchroniser.catchUpFromPeer(peer.address, true);
        return;
      } catch (error) {
        lastError = error;
      }
    }
    throw lastError;
  }

  #pickPeers(): readonly Member[] {
    const { membership, random } = this.#options;
    const local = membership
      .listLocal()
      .filter(({ incarnation }) => incarnation !== membership.self.incarnation)
      .map((member) => ({ member, order: random.next() }))
      .sort((a, b) => a.order - b.order)
      .map(({ member }) => member);
    const localPeers = local.slice(0, MAX_PEERS_TRIED - 1);
    return [...localPeers, ...membership.listRelays()].slice(0, MAX_PEERS_TRIED);
  }

  async #loadFromTable(): Promise<void> {
    const { synchroniser, safeMoveTable } = this.#options;
    await safeMoveTable.load();
    await synchroniser.catchUpFromTable();
  }

  async #loadFromObjectStore(): Promise<void> {
    await this.#options.snapshots.load();
  }

  #getWaitMs(): number {
    const { settings, random } = this.#options;
    return getBackoffMs(this.#failures, settings.bootRetryMs, settings.maxPollBackoffMs, random);
  }
}

/**
 * Applies rows of the store to the daemon's state. A row that cannot be decoded is logged once and
 * skipped.
 */
import type { Logger } from '@snipehaven/common';
import type { ConfigurationHolder } from '../configuration/configurationHolder.js';
import type { StoreClock } from '../configuration/storeClock.js';
import type { HoldPersister } from '../crashes/index.js';
import type { Peer } from '../peers/index.js';
import type { RolloutTracker } from '../rollouts/rolloutTracker.js';
import type { StoreChange, StoreRow, TableListener } from '../store/index.js';
import type { UpstreamDirectory } from '../upstreams/index.js';
import type { Upstream } from '../types.js';
import type { StatusDocument } from './statusDocument.js';
import { RowDecoder, type Row } from './rowDecoder.js';
import type { PlatformAdapter } from './types.js';

export interface OperatorListenerOptions {
  readonly adapter: PlatformAdapter;
  readonly configuration: ConfigurationHolder;
  readonly rollouts: RolloutTracker;
  readonly directory: UpstreamDirectory;
  readonly logger: Logger;
}

/** Applies configuration, roll-out orders and evacuations. */
export class OperatorListener implements TableListener {
  readonly #adapter: PlatformAdapter;

  readonly #configuration: ConfigurationHolder;

  readonly #rollouts: RolloutTracker;

  readonly #directory: UpstreamDirectory;

  readonly #decoder: RowDecoder;

  /** Whether the table was known before. */
  #wasKnown = false;

  constructor(options: OperatorListenerOptions) {
    this.#adapter = options.adapter;
    this.#configuration = options.configuration;
    this.#rollouts = options.rollouts;
    this.#directory = options.directory;
    this.#decoder = new RowDecoder(options.logger);
  }

  onSnapshot(rows: readonly StoreRow[]): void {
    // An order that is new since this table was last confirmed cannot be older than that
    // confirmation. When its age was counted from the read, a roll-out ended after its time if the
    // store dropped its history just then.
    const { ageMs } = this.#configuration.freshness;
    const givenWithinMs = this.#wasKnown && Number.isFinite(ageMs) ? ageMs : undefined;
    this.#wasKnown = true;
    rows.forEach((row) => this.#apply(row, givenWithinMs));
    this.#directory.keepEvacuated(
      rows.flatMap(({ key }) => this.#adapter.getEvacuatedDataCentre(key) ?? []),
    );
  }

  onChange({ key, value, ...revision }: StoreChange): void {
    if (value !== undefined) {
      this.#apply({ key, value, ...revision }, 0);
      return;
    }
    const service = this.#adapter.getRolloutService(key);
    if (service !== undefined) {
      this.#rollouts.removeOrder(service);
    }
    const dataCentre = this.#adapter.getEvacuatedDataCentre(key);
    if (dataCentre !== undefined) {
      this.#directory.takeBack(dataCentre);
    }
  }

  /**
   * `givenWithinMs`: upper bound of the time since the row was written; 0 for a change from a feed,
   * undefined if unknown.
   */
  #apply(row: StoreRow, givenWithinMs: number | undefined): void {
    const document = this.#decoder.decode(row, (one) => this.#adapter.restoreOperatorRow(one));
    if (document?.kind === 'configuration') {
      this.#configuration.apply(document.configuration);
    }
    if (document?.kind === 'rollout') {
      const { era, version } = row;
      this.#rollouts.applyOrder(document.order, { era, version }, givenWithinMs);
    }
    if (document?.kind === 'evacuation') {
      this.#directory.evacuate(document.dataCentre);
    }
  }
}

/** Applies the list of upstreams. */
export class UpstreamListener implements TableListener {
  readonly #adapter: PlatformAdapter;

  readonly #directory: UpstreamDirectory;

  readonly #decoder: RowDecoder;

  constructor(adapter: PlatformAdapter, directory: UpstreamDirectory, logger: Logger) {
    this.#adapter = adapter;
    this.#directory = directory;
    this.#decoder = new RowDecoder(logger);
  }

  onSnapshot(rows: readonly StoreRow[]): void {
    const known: Upstream[] = [];
    for (const row of rows) {
      const upstream = this.#restore(row);
      if (upstream !== undefined) {
        known.push(upstream);
      }
    }
    this.#directory.replaceAll(known);
  }

  onChange({ key, value }: StoreChange): void {
    if (value === undefined) {
      this.#decoder.forget(key);
      this.#directory.remove(key);
      return;
    }
    const upstream = this.#restore({ key, value });
    if (upstream !== undefined) {
      this.#directory.put(upstream);
    }
  }

  onStoreRecovered(): void {
    this.#directory.noteStoreBack();
  }

  /**
   * A row that cannot be decoded may come from another writer; the upstream that it named is not
   * used any more.
   */
  #restore(row: Row): Upstream | undefined {
    const upstream = this.#decoder.decode(row, (one) => this.#adapter.restoreUpstream(one));
    if (upstream === undefined) {
      this.#directory.reject(row.key);
    }
    return upstream;
  }
}

export interface StatusListenerOptions {
  readonly adapter: PlatformAdapter;
  readonly rollouts: RolloutTracker;
  readonly holds: HoldPersister;
  readonly logger: Logger;
  readonly clock: StoreClock;
  onPeer(peer: Peer): void;
}

/** Applies what daemons write: roll-outs, held requests, and the addresses of peers. */
export class StatusListener implements TableListener {
  readonly #adapter: PlatformAdapter;

  readonly #rollouts: RolloutTracker;

  readonly #decoder: RowDecoder;

  readonly #clock: StoreClock;

  /** Used until the clock is synchronized: estimated from the first answer. */
  #firstOffsetMs: number | undefined;

  /** Of the last complete read. */
  #era: number | undefined;

  readonly #holds: HoldPersister;

  readonly #onPeer: (peer: Peer) => void;

  constructor(options: StatusListenerOptions) {
    this.#adapter = options.adapter;
    this.#rollouts = options.rollouts;
    this.#holds = options.holds;
    this.#decoder = new RowDecoder(options.logger);
    this.#clock = options.clock;
    this.#onPeer = options.onPeer;
  }

  /** The store's monotonic clock minus ours. */
  get storeOffsetMs(): number | undefined {
    return this.#clock.lastOffsetMs ?? this.#firstOffsetMs;
  }

  onSnapshot(rows: readonly StoreRow[], serverTimeMs: number, era: number): void {
    const isRestored = this.#era !== undefined && era > this.#era;
    this.#era = era;
    this.#firstOffsetMs = serverTimeMs - performance.now();
    // States first: evidence of a finished roll-out must not be judged again, for example by a
    // starting daemon.
    const documents = rows.map((row) => ({ row, document: this.#decode(row) }));
    const isState = ({ document }: (typeof documents)[number]) => document?.kind === 'rollout';
    const digests = rows.flatMap(({ key }) => this.#adapter.getHeldDigest(key) ?? []);
    if (isRestored) {
      this.#holds.startEra(digests, era);
    }
    const ordered = [...documents.filter(isState), ...documents.filter((one) => !isState(one))];
    ordered.forEach(({ row, document }) => this.#apply(row, document));
    if (isRestored) {
      const services = rows.flatMap(({ key }) => this.#adapter.getRolloutService(key) ?? []);
      this.#rollouts.retainStatuses(services, era);
    }
    this.#rollouts.noteStatusesRead();
    this.#holds.retainOnly(digests, era);
  }

  onChange({ key, value, ...revision }: StoreChange): void {
    if (value !== undefined) {
      const row = { key, value, ...revision };
      this.#apply(row, this.#decode(row));
      return;
    }
    const digest = this.#adapter.getHeldDigest(key);
    if (digest !== undefined) {
      this.#holds.applyRemoval(digest);
    }
  }

  #decode(row: StoreRow): StatusDocument | undefined {
    return this.#decoder.decode(row, (one) => this.#adapter.restoreStatusRow(one));
  }

  #apply(row: StoreRow, document: StatusDocument | undefined): void {
    if (document?.kind === 'rollout') {
      const { era, version } = row;
      this.#rollouts.applyStatus(document.status, { era, version });
    }
    if (document?.kind === 'evidence') {
      this.#rollouts.addEvidence(document.evidence);
    }
    if (document?.kind === 'hold') {
      const { era, version } = row;
      this.#holds.applyRecord(document.hold, { era, version }, this.storeOffsetMs ?? 0);
    }
    if (document?.kind === 'peer') {
      this.#onPeer(document.peer);
    }
  }
}

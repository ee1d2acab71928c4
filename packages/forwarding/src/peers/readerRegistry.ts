/**
 * Tracks which daemons read the store's change feeds, and relays what they read. The other daemons
 * follow the reports of these readers and ask the store only after a loss, because feeds of all
 * daemons would be most of the store's load. Changes are known everywhere just as soon, and a
 * daemon that the store rejects still knows whether its configuration is current.
 */
import { forgetOldest } from '@snipehaven/common';
import { StoreEra } from '../store/storeEra.js';
import {
  INITIAL_REVISION,
  findNewestRevision,
  isNewer,
  type StoreRevision,
} from '../store/storeRevision.js';
import type { TableChanges } from './changesMessage.js';
import type { LoadMessage, ReaderReport, TableReport } from './loadMessage.js';
import { READER_TIMEOUT_MS, ReaderSilence, type ReaderContact } from './readerSilence.js';
import { READER_ORDER } from './rendezvousOrder.js';

interface ReaderState extends ReaderContact {
  readonly vm: string;
  readonly report: TableReport;
  /** When the reader last reported a newer store time. */
  readonly advancedAtMs: number;
}

export interface ReportQuery {
  readonly nowMs: number;
  /** Maximum time since a reader last reported a newer store time. */
  readonly maxAgeMs: number;
  /** Readers of earlier eras do not know what the store has now. */
  readonly era: number;
}

/** The place of a reader in the order of all active readers of a table. */
export interface ReaderPlace {
  readonly index: number;
  /** Number of active readers, including this one. */
  readonly count: number;
}

/** The newest values over all readers of a table. */
export interface LatestReport {
  readonly lastChange: StoreRevision;
  readonly serverTimeMs: number;
}

/**
 * Readers of a small fleet: a minimum, plus more with the number of daemons. A reader's connection
 * may go silent, and a third of all machines may be disconnected at once; one working reader is
 * enough for the others to learn of changes in time.
 */
const MIN_READERS = 2;
const DAEMONS_PER_READER = 8;

/** More than a burst of changes; those that are dropped are read from the store. */
const MAX_PENDING_CHANGES = 40;

/**
 * Up to this many daemons use a full mesh. In larger fleets, loads and reader reports go through
 * the aggregator of each data centre; changes go to the own data centre and to one daemon of each
 * other data centre, which relays them there.
 */
export const MAX_MESH_DAEMONS = 16;

/**
 * Readers of a large fleet, each in its own data centre. One is enough to spread a change; the
 * other continues while the first one's connection is silent or its data centre is down. A
 * disconnected data centre hears of neither and has a reader of its own.
 */
const LARGE_FLEET_READERS = 2;

/**
 * How long readers have to report to a new aggregator, directly or through the aggregate of another
 * data centre.
 */
const NEW_AGGREGATOR_GRACE_MS = 700;

/**
 * More than the concurrent readers of a table; bounds memory, as replaced VMs never report again.
 */
const MAX_LOST_READERS = 64;

/** How long a report is relayed although it does not advance; longer than the wait of any table. */
const MAX_RELAY_AGE_MS = 11_500;

/** The revision up to which the changes lead. */
const getEnd = ({ era, upTo }: TableChanges): StoreRevision => ({ era, version: upTo });

const getLastChange = ({ era, lastChange }: TableReport): StoreRevision => ({
  era,
  version: lastChange,
});

const hasReportedRecently = ({ heardAtMs }: ReaderState, nowMs: number): boolean =>
  nowMs - heardAtMs < READER_TIMEOUT_MS;

export class ReaderRegistry {
  readonly #vm: string;

  /** Keyed by table, then by reader. */
  readonly #readersByTable = new Map<string, Map<string, ReaderState>>();

  readonly #ownReports = new Map<string, TableReport>();

  /** Relayed changes that have not been applied yet, keyed by table. */
  readonly #pendingChanges = new Map<string, TableChanges[]>();

  /** Readers that an update no longer listed, until they report again, keyed by table. */
  readonly #lostReaders = new Map<string, Set<string>>();

  /** The newest revision up to which changes were read or relayed, keyed by table. */
  readonly #newestRevisions = new Map<string, StoreRevision>();

  readonly #dataCentre: string;

  readonly #storeEra: StoreEra;

  readonly #silence: ReaderSilence;

  #waiters: (() => void)[] = [];

  #onOwnChanges: (changes: TableChanges) => void = () => {};

  /** Keyed by table. */
  readonly #updateListeners = new Map<string, () => void>();

  /** `storeEra` is raised by what readers report and relay. */
  constructor(vm: string, dataCentre: string, storeEra: StoreEra = new StoreEra()) {
    this.#vm = vm;
    this.#storeEra = storeEra;
    this.#dataCentre = dataCentre;
    this.#silence = new ReaderSilence(dataCentre);
  }

  /** Reports on the tables that this daemon reads itself. */
  get ownReports(): readonly TableReport[] {
    return [...this.#ownReports.values()];
  }

  /** Sets the listener for changes that this daemon reads itself. */
  onOwnChanges(listener: (changes: TableChanges) => void): void {
    this.#onOwnChanges = listener;
  }

  /**
   * Calls the listener when changes of the table are relayed, the table is received or a reader
   * reports a newer store time for it. Returns a function that removes the listener.
   */
  onUpdate(table: string, listener: () => void): () => void {
    this.#updateListeners.set(table, listener);
    return () => this.#updateListeners.delete(table);
  }

  notifyUpdate(table: string): void {
    this.#wakeWaiters();
    this.#updateListeners.get(table)?.();
  }

  publishReport(report: TableReport): void {
    this.#ownReports.set(report.table, report);
  }

  /** Passes changes that this daemon read to the listener of `onOwnChanges`. */
  publishChanges(changes: TableChanges): void {
    this.#advanceRevision(changes);
    this.#onOwnChanges(changes);
  }

  /** Returns false if changes up to the same revision were known before. */
  receiveChanges(changes: TableChanges): boolean {
    const { table, era } = changes;
    this.observeEra(era, 'relayed changes');
    const pending = this.#pendingChanges.get(table) ?? [];
    pending.push(changes);
    this.#pendingChanges.set(table, pending.slice(-MAX_PENDING_CHANGES));
    this.notifyUpdate(table);
    return this.#advanceRevision(changes);
  }

  /** Relayed changes that continue from the revision without a gap, if any. */
  findChanges(table: string, revision: StoreRevision): TableChanges | undefined {
    const pending = (this.#pendingChanges.get(table) ?? []).filter((changes) =>
      isNewer(getEnd(changes), revision),
    );
    this.#pendingChanges.set(table, pending);
    return pending.find(({ era, after }) => era === revision.era && after <= revision.version);
  }

  /**
   * Whether changes after the revision were relayed, but none that continue from it without a gap.
   */
  hasGap(table: string, revision: StoreRevision): boolean {
    const pending = this.#pendingChanges.get(table) ?? [];
    return (
      this.findChanges(table, revision) === undefined &&
      pending.some((changes) => isNewer(getEnd(changes), revision))
    );
  }

  /**
   * Daemons that wait for an update must read the tables again in a new era. `atLeastMs`: age of the
   * era, if known.
   */
  observeEra(era: number, source: string, atLeastMs?: number): void {
    if (this.#storeEra.observe(era, source, atLeastMs)) {
      this.#wakeWaiters();
    }
  }

  /** Removes this daemon's report: it no longer reads the table, or cannot reach the store. */
  withdraw(table: string): void {
    this.#ownReports.delete(table);
  }

  /** Replaces the reports of one daemon. */
  receiveReports({ vm, dataCentre, news: reports }: LoadMessage, nowMs: number): void {
    const readerReports = reports.map((one) => ({ ...one, vm, dataCentre }));
    this.#replaceReports(readerReports, (reader) => reader.vm === vm, nowMs);
  }

  /**
   * Replaces the reports of all readers, or of those in one data centre, by an aggregator's list.
   */
  receiveReaders(readers: readonly ReaderReport[], nowMs: number, dataCentre?: string): void {
    const others = readers.filter(({ vm }) => vm !== this.#vm);
    const isInScope = (reader: ReaderState): boolean =>
      dataCentre === undefined || reader.dataCentre === dataCentre;
    this.#replaceReports(others, isInScope, nowMs);
  }

  /** The reports of this daemon and of the known readers, for relaying. */
  listReaders(nowMs: number): readonly ReaderReport[] {
    const own = this.ownReports.map((one) => ({
      ...one,
      vm: this.#vm,
      dataCentre: this.#dataCentre,
    }));
    const reader = [...this.#readersByTable.values()].flatMap((readers) => [...readers.values()]);
    const fresh = reader.filter(
      (one) => nowMs - one.advancedAtMs < MAX_RELAY_AGE_MS && hasReportedRecently(one, nowMs),
    );
    const toReader = ({ vm, dataCentre, report }: ReaderState) => ({
      ...report,
      vm,
      dataCentre,
    });
    return [...own, ...fresh.map(toReader)];
  }

  /** The place of this daemon among the active readers of the table. */
  getReaderPlace(table: string, query: ReportQuery): ReaderPlace {
    const index = this.#listPreceding(table, query).length;
    return { index, count: this.#listActive(table, query).length + 1 };
  }

  /** Whether enough other daemons read the table, so that this one need not. */
  hasEnoughReaders(table: string, daemons: number, query: ReportQuery): boolean {
    const preceding = this.#listPreceding(table, query);
    if (daemons <= MAX_MESH_DAEMONS) {
      return preceding.length >= MIN_READERS + Math.ceil(daemons / DAEMONS_PER_READER);
    }
    const dataCentres = new Set(preceding.map(({ dataCentre }) => dataCentre));
    return dataCentres.has(this.#dataCentre) || dataCentres.size >= LARGE_FLEET_READERS;
  }

  /**
   * Whether a daemon that lost the store can rely on other readers, whatever their order. Asking on
   * at the pace of a reader would cost a call per table every 0.3 s for as long as the store
   * rejects this daemon.
   */
  canRelyOnReaders(table: string, daemons: number, query: ReportQuery): boolean {
    const active = this.#listActive(table, query);
    return daemons <= MAX_MESH_DAEMONS
      ? this.#countLocal(active) >= MIN_READERS
      : active.length > 0;
  }

  /** Whether the table's readers have gone silent; false if they withdrew their reports. */
  areReadersSilent(table: string, daemons: number, nowMs: number): boolean {
    const hasAggregators = daemons > MAX_MESH_DAEMONS;
    return this.#silence.isSilent(table, this.#listKnown(table), { nowMs, hasAggregators });
  }

  /** Former readers of the table that stopped reading it or have not reported recently. */
  listLostReaders(table: string, nowMs: number): ReadonlySet<string> {
    const silent = this.#listKnown(table).filter((reader) => !hasReportedRecently(reader, nowMs));
    return new Set([...(this.#lostReaders.get(table) ?? []), ...silent.map(({ vm }) => vm)]);
  }

  /**
   * Gives readers a grace period when this daemon becomes aggregator, because they report to it
   * only from now on. The previous aggregator gets none.
   */
  extendReaderTimeouts(previousAggregator: string | undefined, nowMs: number): void {
    for (const readers of this.#readersByTable.values()) {
      for (const reader of readers.values()) {
        if (reader.vm !== previousAggregator) {
          const heardAtMs = Math.max(
            reader.heardAtMs,
            nowMs - READER_TIMEOUT_MS + NEW_AGGREGATOR_GRACE_MS,
          );
          readers.set(reader.vm, { ...reader, heardAtMs });
        }
      }
    }
  }

  /** Undefined if there is no reader within the query's age. */
  getLatestReport(table: string, query: ReportQuery): LatestReport | undefined {
    const fresh = this.#listFresh(table, query);
    if (fresh.length === 0) {
      return undefined;
    }
    const changes = fresh.map(({ report }) => getLastChange(report));
    return {
      lastChange: findNewestRevision(INITIAL_REVISION, changes),
      serverTimeMs: Math.max(...fresh.map(({ report }) => report.serverTimeMs)),
    };
  }

  /** Resolves at the next update, when readers may have gone silent, or after the given time. */
  async waitForUpdate(waitMs: number): Promise<void> {
    const silenceInMs = this.#getNextSilenceAtMs() - performance.now();
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, Math.min(waitMs, silenceInMs));
      this.#waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  #countLocal(readers: readonly ReaderState[]): number {
    return readers.filter(({ dataCentre }) => dataCentre === this.#dataCentre).length;
  }

  /** Returns true if the changes reach a newer revision than all before. */
  #advanceRevision(changes: TableChanges): boolean {
    const { table } = changes;
    const end = getEnd(changes);
    const isNew = isNewer(end, this.#newestRevisions.get(table) ?? INITIAL_REVISION);
    if (isNew) {
      this.#newestRevisions.set(table, end);
    }
    return isNew;
  }

  /**
   * Replaces all known reports that are in scope; readers that are no longer listed become lost
   * readers.
   */
  #replaceReports(
    reports: readonly ReaderReport[],
    isInScope: (reader: ReaderState) => boolean,
    nowMs: number,
  ): void {
    const listed = new Set(reports.map(({ table, vm }) => `${table}/${vm}`));
    const lost = [...this.#readersByTable.values()]
      .flatMap((readers) => [...readers.values()])
      .filter((reader) => isInScope(reader) && !listed.has(`${reader.report.table}/${reader.vm}`));
    lost.forEach((reader) => this.#removeReader(reader, nowMs));
    if (lost.length > 0) {
      this.#wakeWaiters();
    }
    const advancedReports = reports.filter((one) => this.#recordReport(one, nowMs));
    if (advancedReports.length > 0) {
      this.#wakeWaiters();
      new Set(advancedReports.map(({ table }) => table)).forEach((table) =>
        this.#updateListeners.get(table)?.(),
      );
    }
  }

  /** Returns true if the reader reports a newer store time. */
  #recordReport(
    { vm, dataCentre, table, era, lastChange, serverTimeMs }: ReaderReport,
    nowMs: number,
  ): boolean {
    this.observeEra(era, vm);
    const readers = this.#readersByTable.get(table) ?? new Map<string, ReaderState>();
    const known = readers.get(vm);
    const isAdvanced =
      known === undefined || known.report.era < era || known.report.serverTimeMs < serverTimeMs;
    const advancedAtMs = isAdvanced ? nowMs : known.advancedAtMs;
    readers.set(vm, {
      vm,
      dataCentre,
      report: { table, era, lastChange, serverTimeMs },
      advancedAtMs,
      heardAtMs: nowMs,
    });
    this.#readersByTable.set(table, readers);
    this.#silence.recordReport(table);
    this.#lostReaders.get(table)?.delete(vm);
    return isAdvanced;
  }

  #removeReader(reader: ReaderState, nowMs: number): void {
    const { vm, report } = reader;
    const { table } = report;
    this.#readersByTable.get(table)?.delete(vm);
    this.#addLostReader(table, vm);
    if (this.#listKnown(table).length === 0) {
      this.#silence.recordLastLoss(table, reader, nowMs);
    }
  }

  /** When readers of any table may go silent next. */
  #getNextSilenceAtMs(): number {
    const nowMs = performance.now();
    const tables = [...this.#readersByTable.keys()];
    return Math.min(
      Infinity,
      ...tables.map((table) => this.#silence.getNextSilenceAtMs(this.#listKnown(table), nowMs)),
    );
  }

  #addLostReader(table: string, vm: string): void {
    const lost = this.#lostReaders.get(table) ?? new Set<string>();
    lost.add(vm);
    forgetOldest(lost, MAX_LOST_READERS);
    this.#lostReaders.set(table, lost);
  }

  /** Readers that have reported recently and whose report is not too old. */
  #listActive(table: string, query: ReportQuery): readonly ReaderState[] {
    return this.#listFresh(table, query).filter((reader) =>
      hasReportedRecently(reader, query.nowMs),
    );
  }

  /** Active readers that come before this daemon in the reader order. */
  #listPreceding(table: string, query: ReportQuery): readonly ReaderState[] {
    return this.#listActive(table, query).filter(({ vm }) => READER_ORDER.isBefore(vm, this.#vm));
  }

  #listFresh(table: string, { nowMs, maxAgeMs, era }: ReportQuery): readonly ReaderState[] {
    return this.#listKnown(table).filter(
      ({ report, advancedAtMs }) => report.era >= era && nowMs - advancedAtMs < maxAgeMs,
    );
  }

  #listKnown(table: string): readonly ReaderState[] {
    return [...(this.#readersByTable.get(table)?.values() ?? [])];
  }

  #wakeWaiters(): void {
    const pending = this.#waiters;
    this.#waiters = [];
    pending.forEach((resolve) => resolve());
  }
}

/**
 * News of the store's tables among daemons. Some daemons hold the feeds; the others follow what these tell
 * and ask the store only when something changed: feeds of all daemons would be most of what the store is
 * asked. So a change is known everywhere as soon, and a daemon that the store turns away still knows
 * whether its configuration is the newest.
 */
import { forgetOldest } from '@snipehaven/common';
import type { TableChanges } from './changesMessage.js';
import type { LoadMessage, ReaderNews, TableNews } from './loadMessage.js';
import { READER_ORDER } from './peerOrder.js';

interface HeardNews {
  readonly vm: string;
  readonly dataCentre: string;
  readonly news: TableNews;
  /** When the reader last had the store's word anew. */
  readonly advancedAtMs: number;
  /** When the reader last reported, directly or through an aggregator. */
  readonly heardAtMs: number;
}

/** When it is asked, and how long ago a reader may have had the store's word anew. */
export interface NewsQuery {
  readonly nowMs: number;
  readonly maxAgeMs: number;
}

/** What all readers together say of a table. */
export interface BestNews {
  readonly lastChange: number;
  readonly serverTimeMs: number;
}

/**
 * Readers of a small fleet: a few, and more with the number of daemons. A reader's connection may go
 * silent, and a third of all machines may be cut off at once; while one reader is well the others learn
 * of changes in time.
 */
const MIN_READERS = 2;
const DAEMONS_PER_READER = 8;

/** More than a burst of changes; what is lost is read from the store. */
const MAX_WAITING_CHANGES = 40;

/**
 * Up to this many daemons each tells all others. Beyond, work and readers' news go through one daemon
 * of each data centre, and changes to one's own data centre and one daemon of each other, who passes
 * them on there.
 */
export const SMALL_FLEET = 16;

/**
 * Readers of a larger fleet, each in a data centre of its own: one is enough for a change to be known
 * everywhere, and the other goes on while the first one's connection is silent or its data centre is
 * gone. A data centre that is cut off hears of neither and has its own read.
 */
const LARGE_FLEET_READERS = 2;

/**
 * A reader that has not reported for this long is considered stopped or unreachable. The age of its
 * news cannot show this: a running reader has no newer news while the store holds its request.
 */
const READER_SILENCE_MS = 1_500;

/**
 * How long readers have to report to a new aggregator, directly or through the sum of another data
 * centre.
 */
const NEW_AGGREGATOR_GRACE_MS = 700;

/** More than the concurrent readers of a table; bounds memory, as replaced VMs never report again. */
const MAX_LOST_READERS = 64;

/** How long news of a reader are passed on without anything new in them; no table's wait is longer. */
const MAX_PASSED_ON_AGE_MS = 11_500;

const isRecentlyHeard = ({ heardAtMs }: HeardNews, nowMs: number): boolean =>
  nowMs - heardAtMs < READER_SILENCE_MS;

export class NewsBoard {
  readonly #vm: string;

  /** By table, then by reader. */
  readonly #heard = new Map<string, Map<string, HeardNews>>();

  readonly #own = new Map<string, TableNews>();

  /** Changes that readers passed on and that were not taken yet, by table. */
  readonly #changes = new Map<string, TableChanges[]>();

  /** Readers that an update no longer listed, until they report again, by table. */
  readonly #lostReaders = new Map<string, Set<string>>();

  /** The newest version of the store up to which changes were read or passed on, by table. */
  readonly #newest = new Map<string, number>();

  readonly #dataCentre: string;

  #waiting: (() => void)[] = [];

  #onOwnChanges: (changes: TableChanges) => void = () => {};

  /** By table. */
  readonly #newsListeners = new Map<string, () => void>();

  constructor(vm: string, dataCentre: string) {
    this.#vm = vm;
    this.#dataCentre = dataCentre;
  }

  /** What this daemon read itself. */
  get own(): readonly TableNews[] {
    return [...this.#own.values()];
  }

  /** Calls back when this daemon reads changes. */
  onOwnChanges(listener: (changes: TableChanges) => void): void {
    this.#onOwnChanges = listener;
  }

  /**
   * Calls the listener when changes of the table are passed on or a reader reports a newer store time
   * for it. Returns a function that removes the listener.
   */
  onNews(table: string, listener: () => void): () => void {
    this.#newsListeners.set(table, listener);
    return () => this.#newsListeners.delete(table);
  }

  publish(news: TableNews): void {
    this.#own.set(news.table, news);
  }

  /** Passes on what this daemon read. */
  publishChanges(changes: TableChanges): void {
    this.#noteNewest(changes.table, changes.upTo);
    this.#onOwnChanges(changes);
  }

  /** False when they were passed on before. */
  takeChanges(changes: TableChanges): boolean {
    const { table, upTo } = changes;
    const waiting = this.#changes.get(table) ?? [];
    waiting.push(changes);
    this.#changes.set(table, waiting.slice(-MAX_WAITING_CHANGES));
    this.#wake();
    this.#newsListeners.get(table)?.();
    return this.#noteNewest(table, upTo);
  }

  /** Changes that go on from the version, without a gap; undefined when none is at hand. */
  findChanges(table: string, version: number): TableChanges | undefined {
    const waiting = (this.#changes.get(table) ?? []).filter(({ upTo }) => upTo > version);
    this.#changes.set(table, waiting);
    return waiting.find(({ after }) => after <= version);
  }

  /** Whether changes after the version were passed on, but none that continue from it without a gap. */
  hasGap(table: string, version: number): boolean {
    const waiting = this.#changes.get(table) ?? [];
    return (
      this.findChanges(table, version) === undefined && waiting.some(({ upTo }) => upTo > version)
    );
  }

  /** This daemon does not read the table any more, or does not reach the store. */
  withdraw(table: string): void {
    this.#own.delete(table);
  }

  /** What a daemon says of itself. */
  take({ vm, dataCentre, news }: LoadMessage, nowMs: number): void {
    const told = news.map((one) => ({ ...one, vm, dataCentre }));
    this.#replace(told, (heard) => heard.vm === vm, nowMs);
  }

  /** What an aggregator says of all readers, or of those of one data centre. */
  takeReaders(readers: readonly ReaderNews[], nowMs: number, dataCentre?: string): void {
    const others = readers.filter(({ vm }) => vm !== this.#vm);
    const concerns = (heard: HeardNews): boolean =>
      dataCentre === undefined || heard.dataCentre === dataCentre;
    this.#replace(others, concerns, nowMs);
  }

  /** This daemon's news and those that it heard, to be passed on. */
  listReaders(nowMs: number): readonly ReaderNews[] {
    const own = this.own.map((one) => ({ ...one, vm: this.#vm, dataCentre: this.#dataCentre }));
    const heard = [...this.#heard.values()].flatMap((readers) => [...readers.values()]);
    const fresh = heard.filter(
      (one) => nowMs - one.advancedAtMs < MAX_PASSED_ON_AGE_MS && isRecentlyHeard(one, nowMs),
    );
    const toReader = ({ vm, dataCentre, news }: HeardNews) => ({ ...news, vm, dataCentre });
    return [...own, ...fresh.map(toReader)];
  }

  /** Whether enough others read the table, so that this daemon need not. */
  isCovered(table: string, daemons: number, query: NewsQuery): boolean {
    const better = this.#listActive(table, query).filter(({ vm }) =>
      READER_ORDER.isBefore(vm, this.#vm),
    );
    if (daemons <= SMALL_FLEET) {
      return better.length >= MIN_READERS + Math.ceil(daemons / DAEMONS_PER_READER);
    }
    const dataCentres = new Set(better.map(({ dataCentre }) => dataCentre));
    return dataCentres.has(this.#dataCentre) || dataCentres.size >= LARGE_FLEET_READERS;
  }

  /**
   * Whether a daemon that lost the store can leave the reading to others, whoever they are. Asking on
   * at the pace of a reader would cost a call each 0.3 s and table for as long as the store turns this
   * one away.
   */
  canLean(table: string, daemons: number, query: NewsQuery): boolean {
    const active = this.#listActive(table, query);
    return daemons <= SMALL_FLEET ? this.#countLocal(active) >= MIN_READERS : active.length > 0;
  }

  /** Former readers of the table that stopped reading it or have not reported recently. */
  listLostReaders(table: string, nowMs: number): ReadonlySet<string> {
    const silent = [...(this.#heard.get(table)?.values() ?? [])].filter(
      (heard) => !isRecentlyHeard(heard, nowMs),
    );
    return new Set([...(this.#lostReaders.get(table) ?? []), ...silent.map(({ vm }) => vm)]);
  }

  /**
   * Gives readers a grace period when this daemon becomes aggregator, because they report to it only
   * from now on. The previous aggregator gets none.
   */
  extendSilencePeriods(previousAggregator: string | undefined, nowMs: number): void {
    for (const readers of this.#heard.values()) {
      for (const heard of readers.values()) {
        if (heard.vm !== previousAggregator) {
          const heardAtMs = Math.max(
            heard.heardAtMs,
            nowMs - READER_SILENCE_MS + NEW_AGGREGATOR_GRACE_MS,
          );
          readers.set(heard.vm, { ...heard, heardAtMs });
        }
      }
    }
  }

  /** Undefined while no reader is heard. */
  getBest(table: string, query: NewsQuery): BestNews | undefined {
    const fresh = this.#listFresh(table, query);
    if (fresh.length === 0) {
      return undefined;
    }
    return {
      lastChange: Math.max(...fresh.map(({ news }) => news.lastChange)),
      serverTimeMs: Math.max(...fresh.map(({ news }) => news.serverTimeMs)),
    };
  }

  /** Resolves at the next news of any reader, or after the time. */
  async waitForNews(waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      this.#waiting.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  #countLocal(readers: readonly HeardNews[]): number {
    return readers.filter(({ dataCentre }) => dataCentre === this.#dataCentre).length;
  }

  /** True when the version is beyond all before. */
  #noteNewest(table: string, version: number): boolean {
    const isNew = version > (this.#newest.get(table) ?? 0);
    if (isNew) {
      this.#newest.set(table, version);
    }
    return isNew;
  }

  /** Takes the news in place of all heard ones that they concern. */
  #replace(
    news: readonly ReaderNews[],
    concerns: (heard: HeardNews) => boolean,
    nowMs: number,
  ): void {
    const told = new Set(news.map(({ table, vm }) => `${table}/${vm}`));
    const lost = [...this.#heard.values()]
      .flatMap((readers) => [...readers.values()])
      .filter((heard) => concerns(heard) && !told.has(`${heard.news.table}/${heard.vm}`));
    lost.forEach(({ vm, news: { table } }) => {
      this.#heard.get(table)?.delete(vm);
      this.#noteLostReader(table, vm);
    });
    if (lost.length > 0) {
      this.#wake();
    }
    const advancedNews = news.filter((one) => this.#note(one, nowMs));
    if (advancedNews.length > 0) {
      this.#wake();
      new Set(advancedNews.map(({ table }) => table)).forEach((table) =>
        this.#newsListeners.get(table)?.(),
      );
    }
  }

  /** True when the reader had the store's word anew. */
  #note({ vm, dataCentre, table, lastChange, serverTimeMs }: ReaderNews, nowMs: number): boolean {
    const readers = this.#heard.get(table) ?? new Map<string, HeardNews>();
    const known = readers.get(vm);
    const isAdvanced = known === undefined || known.news.serverTimeMs < serverTimeMs;
    const advancedAtMs = isAdvanced ? nowMs : known.advancedAtMs;
    readers.set(vm, {
      vm,
      dataCentre,
      news: { table, lastChange, serverTimeMs },
      advancedAtMs,
      heardAtMs: nowMs,
    });
    this.#heard.set(table, readers);
    this.#lostReaders.get(table)?.delete(vm);
    return isAdvanced;
  }

  #noteLostReader(table: string, vm: string): void {
    const lost = this.#lostReaders.get(table) ?? new Set<string>();
    lost.add(vm);
    forgetOldest(lost, MAX_LOST_READERS);
    this.#lostReaders.set(table, lost);
  }

  /** Readers that have reported recently and whose news is not too old. */
  #listActive(table: string, query: NewsQuery): readonly HeardNews[] {
    return this.#listFresh(table, query).filter((heard) => isRecentlyHeard(heard, query.nowMs));
  }

  #listFresh(table: string, { nowMs, maxAgeMs }: NewsQuery): readonly HeardNews[] {
    const readers = [...(this.#heard.get(table)?.values() ?? [])];
    return readers.filter(({ advancedAtMs }) => nowMs - advancedAtMs < maxAgeMs);
  }

  #wake(): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach((resolve) => resolve());
  }
}

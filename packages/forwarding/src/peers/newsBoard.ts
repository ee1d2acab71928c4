/**
 * News of the store's tables among daemons. Some daemons hold the feeds; the others follow what these tell
 * and ask the store only when something changed. Sixty daemons that each held their feeds spent a tenth of
 * all that their requests were worth on calls; with this a change is known everywhere as soon, and a daemon
 * that the store turns away still knows whether its configuration is the newest.
 */
import { getAffinityWeight, hashAffinityKey } from '@snipehaven/policy';
import type { TableChanges } from './changesMessage.js';
import type { LoadMessage, TableNews } from './loadMessage.js';

interface HeardNews {
  readonly vm: string;
  readonly dataCentre: string;
  readonly news: TableNews;
  /** When the reader last had the store's word anew. */
  readonly advancedAtMs: number;
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
 * Readers of a small fleet: a few, and more with the number of daemons. A reader's connection may go silent,
 * and a third of all machines may be cut off at once; while one reader is well the others learn of changes
 * in time.
 */
const MIN_READERS = 2;
const DAEMONS_PER_READER = 8;

/** More than a burst of changes; what is lost is read from the store. */
const MAX_WAITING_CHANGES = 40;

/**
 * Up to this many daemons readers tell all others at once. Beyond, only those of their data centre and one of
 * each other, who passes it on where it is new; so each data centre needs readers of its own, and learns from
 * the others' where its own are cut off.
 */
export const SMALL_FLEET = 16;
const MIN_LOCAL_READERS = 2;

const RANK_KEY = hashAffinityKey('reader');

export class NewsBoard {
  readonly #vm: string;

  readonly #rank: number;

  /** By table, then by reader. */
  readonly #heard = new Map<string, Map<string, HeardNews>>();

  readonly #own = new Map<string, TableNews>();

  /** Changes that readers passed on and that were not taken yet, by table. */
  readonly #changes = new Map<string, TableChanges[]>();

  /** The newest version of the store up to which changes were read or passed on, by table. */
  readonly #newest = new Map<string, number>();

  readonly #dataCentre: string;

  #waiting: (() => void)[] = [];

  #onOwnChanges: (changes: TableChanges) => void = () => {};

  constructor(vm: string, dataCentre: string) {
    this.#vm = vm;
    this.#dataCentre = dataCentre;
    this.#rank = getAffinityWeight(RANK_KEY, vm);
  }

  /** What this daemon read itself. */
  get own(): readonly TableNews[] {
    return [...this.#own.values()];
  }

  /** Calls back when this daemon reads changes. */
  onOwnChanges(listener: (changes: TableChanges) => void): void {
    this.#onOwnChanges = listener;
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
    return this.#noteNewest(table, upTo);
  }

  /** Changes that go on from the version, without a gap; undefined when none is at hand. */
  findChanges(table: string, version: number): TableChanges | undefined {
    const waiting = (this.#changes.get(table) ?? []).filter(({ upTo }) => upTo > version);
    this.#changes.set(table, waiting);
    return waiting.find(({ after }) => after <= version);
  }

  /** This daemon does not read the table any more, or does not reach the store. */
  withdraw(table: string): void {
    this.#own.delete(table);
  }

  take({ vm, dataCentre, news }: LoadMessage, nowMs: number): void {
    const told = new Set(news.map(({ table }) => table));
    for (const [table, readers] of this.#heard) {
      if (!told.has(table)) {
        readers.delete(vm);
      }
    }
    news.forEach((one) => this.#note({ vm, dataCentre, news: one, advancedAtMs: nowMs }));
    if (news.length > 0) {
      this.#wake();
    }
  }

  /** Whether enough others read the table, so that this daemon need not. */
  isCovered(table: string, daemons: number, query: NewsQuery): boolean {
    const better = this.#listFresh(table, query).filter(({ vm }) => this.#isBetter(vm));
    return daemons <= SMALL_FLEET
      ? better.length >= MIN_READERS + Math.ceil(daemons / DAEMONS_PER_READER)
      : this.#countLocal(better) >= MIN_LOCAL_READERS;
  }

  /**
   * Whether a daemon that lost the store can leave the reading to others, whoever they are. Asking on at the
   * pace of a reader would cost a call each 0.3 s and table for as long as the store turns this one away.
   */
  canLean(table: string, query: NewsQuery): boolean {
    return this.#countLocal(this.#listFresh(table, query)) >= MIN_LOCAL_READERS;
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

  #note(heard: HeardNews): void {
    const { table, serverTimeMs } = heard.news;
    const readers = this.#heard.get(table) ?? new Map<string, HeardNews>();
    const known = readers.get(heard.vm);
    const isNew = known === undefined || known.news.serverTimeMs < serverTimeMs;
    readers.set(heard.vm, isNew ? heard : { ...heard, advancedAtMs: known.advancedAtMs });
    this.#heard.set(table, readers);
  }

  #listFresh(table: string, { nowMs, maxAgeMs }: NewsQuery): readonly HeardNews[] {
    const readers = [...(this.#heard.get(table)?.values() ?? [])];
    return readers.filter(({ advancedAtMs }) => nowMs - advancedAtMs < maxAgeMs);
  }

  /** Readers are those first in an order that mixes data centres and is the same for all. */
  #isBetter(vm: string): boolean {
    const rank = getAffinityWeight(RANK_KEY, vm);
    return rank > this.#rank || (rank === this.#rank && vm < this.#vm);
  }

  #wake(): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach((resolve) => resolve());
  }
}

/** An engine's cache of prompt prefixes: limited memory, least recently used out first. */
import { type Random } from '@snipehaven/common';
import { countTokens, getPrefixDigest } from './answers.js';
import { MAX_CACHE_EVENTS } from './constants.js';

export type CacheEventKind = 'added' | 'evicted';

export interface CacheEvent {
  readonly seq: number;
  readonly kind: CacheEventKind;
  readonly prefix: string;
  readonly version: string;
}

/** Events above the asked one; numbers up to `lastSeq` that are missing were lost. */
export interface CacheEventPage {
  readonly events: readonly CacheEvent[];
  readonly lastSeq: number;
}

export interface PrefixCacheOptions {
  /** Prompt tokens that the cache can hold. */
  readonly capacityTokens: number;
  /** How late events are published. */
  readonly eventDelayMs: number;
  /** The share of events that are never published. */
  readonly eventLossRate: number;
}

interface CacheEntry {
  readonly version: string;
  readonly prefix: string;
  readonly promptText: string;
  readonly tokens: number;
}

interface PendingEvent extends CacheEvent {
  readonly visibleAtMs: number;
  readonly isLost: boolean;
}

const countSharedCharacters = (a: string, b: string): number => {
  const limit = Math.min(a.length, b.length);
  let index = 0;
  while (index < limit && a.charCodeAt(index) === b.charCodeAt(index)) {
    index += 1;
  }
  return index;
};

/** The cache of one engine; each version has its own entries. */
export class PrefixCache {
  readonly #random: Random;

  #options: PrefixCacheOptions;

  /** In order of use, the least recent first. */
  readonly #entries = new Map<string, CacheEntry>();

  #events: PendingEvent[] = [];

  #lastSeq = 0;

  #usedTokens = 0;

  constructor(options: PrefixCacheOptions, random: Random) {
    this.#options = options;
    this.#random = random;
  }

  setOptions(options: Partial<PrefixCacheOptions>): void {
    this.#options = { ...this.#options, ...options };
    this.#evict();
  }

  /** Tokens in use, of the capacity. */
  get usedTokens(): number {
    return this.#usedTokens;
  }

  /** Enters a prompt and returns how many of its tokens were cached before. */
  use(version: string, promptText: string): number {
    if (this.#options.capacityTokens === 0) {
      return 0;
    }
    const prefix = getPrefixDigest(promptText);
    const key = `${version} ${prefix}`;
    const existing = this.#entries.get(key);
    const cachedTokens = existing
      ? countTokens(promptText.slice(0, countSharedCharacters(existing.promptText, promptText)))
      : 0;
    this.#enter(key, { version, prefix, promptText, tokens: countTokens(promptText) }, existing);
    return cachedTokens;
  }

  /** The published events above the number. */
  listEvents(afterSeq: number): CacheEventPage {
    const nowMs = Date.now();
    const visible = this.#events.filter((event) => event.visibleAtMs <= nowMs);
    const events = visible
      .filter((event) => event.seq > afterSeq && !event.isLost)
      .map(({ seq, kind, prefix, version }) => ({ seq, kind, prefix, version }));
    return { events, lastSeq: visible.at(-1)?.seq ?? 0 };
  }

  /** What is cached now; for oracles. */
  listPrefixes(): readonly { readonly version: string; readonly prefix: string }[] {
    return [...this.#entries.values()].map(({ version, prefix }) => ({ version, prefix }));
  }

  /** Forgets a version's entries, as its weights were unloaded. */
  dropVersion(version: string): void {
    [...this.#entries].forEach(([key, entry]) => {
      if (entry.version === version) {
        this.#remove(key, entry);
      }
    });
  }

  #enter(key: string, entry: CacheEntry, existing: CacheEntry | undefined): void {
    this.#entries.delete(key);
    this.#entries.set(key, entry);
    this.#usedTokens += entry.tokens - (existing?.tokens ?? 0);
    if (!existing) {
      this.#publish('added', entry);
    }
    this.#evict();
  }

  #evict(): void {
    for (const [key, entry] of this.#entries) {
      if (this.#usedTokens <= this.#options.capacityTokens) {
        return;
      }
      this.#remove(key, entry);
    }
  }

  #remove(key: string, entry: CacheEntry): void {
    this.#entries.delete(key);
    this.#usedTokens -= entry.tokens;
    this.#publish('evicted', entry);
  }

  #publish(kind: CacheEventKind, { prefix, version }: CacheEntry): void {
    this.#lastSeq += 1;
    const { eventDelayMs, eventLossRate } = this.#options;
    this.#events.push({
      seq: this.#lastSeq,
      kind,
      prefix,
      version,
      visibleAtMs: Date.now() + eventDelayMs,
      isLost: eventLossRate > 0 && this.#random.next() < eventLossRate,
    });
    if (this.#events.length > 2 * MAX_CACHE_EVENTS) {
      this.#events = this.#events.slice(-MAX_CACHE_EVENTS);
    }
  }
}

/** The pins in the memory of one daemon, limited in number with least-recently-used eviction. */
import { mergePins } from './choosePin.js';
import { getBucket, getSessionKey, toPin, type PinsByKey, type StoredPin } from './pinRow.js';
import type { Pin, PinSettings } from './types.js';

export class PinCache {
  readonly #settings: Pick<PinSettings, 'maxPins' | 'pinLifetimeMs' | 'bucketCount'>;

  /** In order of last use, oldest first. */
  readonly #pins = new Map<string, StoredPin>();

  /** The incarnation that holds a copy of the current pin, by session key. */
  readonly #copyHolders = new Map<string, string>();

  readonly #keysByBucket = new Map<number, Set<string>>();

  constructor(settings: Pick<PinSettings, 'maxPins' | 'pinLifetimeMs' | 'bucketCount'>) {
    this.#settings = settings;
  }

  get size(): number {
    return this.#pins.size;
  }

  /** Returns the session's pin and marks it as used now. */
  use(key: string): StoredPin | undefined {
    const present = this.#pins.get(key);
    if (!present || present.usedAtMs + this.#settings.pinLifetimeMs <= Date.now()) {
      return undefined;
    }
    const used = { ...present, usedAtMs: Date.now() };
    this.#pins.delete(key);
    this.#pins.set(key, used);
    return used;
  }

  hasCopyAt(key: string, incarnation: string): boolean {
    return this.#copyHolders.get(key) === incarnation;
  }

  recordCopy(key: string, incarnation: string): void {
    if (this.#pins.has(key)) {
      this.#copyHolders.set(key, incarnation);
    }
  }

  set(pin: Pin, usedAtMs: number): void {
    const key = getSessionKey(pin.teamUid, pin.session);
    this.#delete(key);
    this.#pins.set(key, { ...pin, usedAtMs });
    this.#getBucketKeys(key).add(key);
    this.#evictOldest();
  }

  /** Merges a pin known to another holder; returns the pin in force. */
  merge(pin: Pin, usedAtMs: number): Pin {
    const present = this.#pins.get(getSessionKey(pin.teamUid, pin.session));
    const inForce = mergePins(present, pin) ?? pin;
    if (present && inForce === present) {
      return toPin(present);
    }
    this.set(pin, Math.max(usedAtMs, present?.usedAtMs ?? 0));
    return pin;
  }

  listBuckets(): readonly number[] {
    return [...this.#keysByBucket.keys()];
  }

  getBucketPins(bucket: number): PinsByKey {
    const keys = [...(this.#keysByBucket.get(bucket) ?? [])];
    return new Map(keys.map((key) => [key, this.#pins.get(key) as StoredPin]));
  }

  /** Removes expired pins; stops at the first pin that is not, as pins are in order of last use. */
  dropExpired(nowMs: number): void {
    for (const [key, pin] of this.#pins) {
      if (pin.usedAtMs + this.#settings.pinLifetimeMs > nowMs) {
        return;
      }
      this.#delete(key);
    }
  }

  #getBucketKeys(key: string): Set<string> {
    const bucket = getBucket(key, this.#settings.bucketCount);
    const keys = this.#keysByBucket.get(bucket) ?? new Set();
    this.#keysByBucket.set(bucket, keys);
    return keys;
  }

  #evictOldest(): void {
    if (this.#pins.size > this.#settings.maxPins) {
      this.#delete(this.#pins.keys().next().value as string);
    }
  }

  #delete(key: string): void {
    if (!this.#pins.delete(key)) {
      return;
    }
    this.#copyHolders.delete(key);
    const bucket = getBucket(key, this.#settings.bucketCount);
    const keys = this.#keysByBucket.get(bucket);
    keys?.delete(key);
    if (keys?.size === 0) {
      this.#keysByBucket.delete(bucket);
    }
  }
}

/** The pins that one daemon holds: bounded, least recently used first to go. */
import { mergePins } from './choosePin.js';
import { getBucket, getSessionKey, toPin, type PinsByKey, type StoredPin } from './pinRow.js';
import type { Pin, PinSettings } from './types.js';

export class PinMemory {
  readonly #settings: Pick<PinSettings, 'maxPins' | 'pinLifetimeMs' | 'bucketCount'>;

  /** In order of last use. */
  readonly #pins = new Map<string, StoredPin>();

  /** Which incarnation holds a copy of the pin as it is now. */
  readonly #copyHolders = new Map<string, string>();

  readonly #keysByBucket = new Map<number, Set<string>>();

  constructor(settings: Pick<PinSettings, 'maxPins' | 'pinLifetimeMs' | 'bucketCount'>) {
    this.#settings = settings;
  }

  get size(): number {
    return this.#pins.size;
  }

  /** The session's pin, which counts as used now. */
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

  noteCopy(key: string, incarnation: string): void {
    if (this.#pins.has(key)) {
      this.#copyHolders.set(key, incarnation);
    }
  }

  /** Replaces the session's pin. */
  set(pin: Pin, usedAtMs: number): void {
    const key = getSessionKey(pin.teamUid, pin.session);
    this.#delete(key);
    this.#pins.set(key, { ...pin, usedAtMs });
    this.#getKeys(key).add(key);
    this.#dropOldest();
  }

  /** Takes in what another holder knows; returns the pin in force. */
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

  /** Forgets pins past their lifetime; looks only at the least recently used ones. */
  dropExpired(nowMs: number): void {
    for (const [key, pin] of this.#pins) {
      if (pin.usedAtMs + this.#settings.pinLifetimeMs > nowMs) {
        return;
      }
      this.#delete(key);
    }
  }

  #getKeys(key: string): Set<string> {
    const bucket = getBucket(key, this.#settings.bucketCount);
    const keys = this.#keysByBucket.get(bucket) ?? new Set();
    this.#keysByBucket.set(bucket, keys);
    return keys;
  }

  #dropOldest(): void {
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

/** Keys in order, for scans by prefix. */

/** A sorted array: adding moves memory, yet stays cheap at the sizes of a stand-in. */
export class SortedKeys {
  readonly #keys: string[] = [];

  /** Adds a key that is not yet in. */
  add(key: string): void {
    this.#keys.splice(this.#find(key), 0, key);
  }

  delete(key: string): void {
    const index = this.#find(key);
    if (this.#keys[index] === key) {
      this.#keys.splice(index, 1);
    }
  }

  /** Up to `limit` keys with the prefix, above `afterKey` where given. */
  list(prefix: string, afterKey: string | undefined, limit: number): readonly string[] {
    const keys: string[] = [];
    let index = this.#findStart(prefix, afterKey);
    while (keys.length < limit && this.#keys[index]?.startsWith(prefix)) {
      keys.push(this.#keys[index] as string);
      index += 1;
    }
    return keys;
  }

  #findStart(prefix: string, afterKey: string | undefined): number {
    if (afterKey === undefined || afterKey < prefix) {
      return this.#find(prefix);
    }
    const index = this.#find(afterKey);
    return this.#keys[index] === afterKey ? index + 1 : index;
  }

  /** The index of the first key that is not below the given one. */
  #find(key: string): number {
    let low = 0;
    let high = this.#keys.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((this.#keys[middle] as string) < key) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}

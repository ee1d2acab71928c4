/** Things that become known at a later tick. */

/** Collects items by the tick at which they are due. */
export class TickBuckets<Item> {
  readonly #buckets = new Map<number, Item[]>();

  add(tick: number, item: Item): void {
    const bucket = this.#buckets.get(tick);
    if (bucket) {
      bucket.push(item);
    } else {
      this.#buckets.set(tick, [item]);
    }
  }

  /** Takes out all items due at the tick. */
  take(tick: number): readonly Item[] {
    const bucket = this.#buckets.get(tick) ?? [];
    this.#buckets.delete(tick);
    return bucket;
  }
}

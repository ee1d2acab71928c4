/** Keeps a memory bounded that is in order of age, as maps and sets are by insertion. */

/** A map or a set. */
interface Ordered<Key> {
  readonly size: number;
  keys(): Iterable<Key>;
  delete(key: Key): boolean;
}

/** Drops the entry that came first while there are more than `most`. */
export const forgetOldest = <Key>(kept: Ordered<Key>, most: number): void => {
  for (const key of kept.keys()) {
    if (kept.size <= most) {
      return;
    }
    kept.delete(key);
  }
};

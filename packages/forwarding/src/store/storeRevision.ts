/**
 * The order of the store's states. Versions count the changes of all tables. When the store comes
 * back from a copy, it gives the versions after the copy's out again, in a new era; versions of
 * different eras cannot be compared.
 */

export interface StoreRevision {
  readonly era: number;
  readonly version: number;
}

/** Before the first change of any store. */
export const INITIAL_REVISION: StoreRevision = { era: 0, version: 0 };

/** Negative if `a` is older than `b`, 0 if both are the same. */
export const compareRevisions = (a: StoreRevision, b: StoreRevision): number =>
  a.era - b.era || a.version - b.version;

export const isNewer = (a: StoreRevision, b: StoreRevision): boolean => compareRevisions(a, b) > 0;

export const isSameRevision = (a: StoreRevision, b: StoreRevision): boolean =>
  compareRevisions(a, b) === 0;

export const findNewestRevision = (
  first: StoreRevision,
  others: readonly StoreRevision[],
): StoreRevision => {
  const { era, version } = others.reduce(
    (newest, one) => (isNewer(one, newest) ? one : newest),
    first,
  );
  return { era, version };
};

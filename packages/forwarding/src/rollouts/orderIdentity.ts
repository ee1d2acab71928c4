/**
 * Tells whether two statements are of the same order. The operator writes orders again that the
 * store has lost, so that an order's row may have several revisions one after the other.
 */
import type { StoreRevision } from '../store/index.js';
import type { RolloutOrder } from '../types.js';
import type { OrderReference, RolloutStatus } from './types.js';

/** Time in which the operator writes its rows again after the store came back from a copy. */
const REWRITE_MS = 5_000;

export interface OrderRow {
  readonly order: RolloutOrder;
  readonly revision: StoreRevision;
}

export const refersTo = ({ era, version }: OrderReference, revision: StoreRevision): boolean =>
  version === revision.version && (era ?? revision.era) === revision.era;

/** Whether two statuses name the same order. */
export const isOfSameOrder = (a: RolloutStatus, b: RolloutStatus): boolean =>
  a.toVersion === b.toVersion &&
  a.orderRevision.era === b.orderRevision.era &&
  a.orderRevision.version === b.orderRevision.version;

/** Versions of different eras cannot be compared; there the software version tells. */
export const isStatusOf = (
  { toVersion, orderRevision }: RolloutStatus,
  { order, revision }: OrderRow,
): boolean => {
  const { era = revision.era } = orderRevision;
  return (
    toVersion === order.toVersion && (era !== revision.era || refersTo(orderRevision, revision))
  );
};

const isSameContent = (a: RolloutOrder, b: RolloutOrder): boolean =>
  a.service === b.service && a.toVersion === b.toVersion && a.durationMs === b.durationMs;

/**
 * Whether the row is the known order, written again. `eraAgeMs`: time since this daemon saw the era
 * begin.
 */
export const isWrittenAgain = (known: OrderRow, row: OrderRow, eraAgeMs: number): boolean =>
  isSameContent(known.order, row.order) &&
  (known.revision.era !== row.revision.era || eraAgeMs < REWRITE_MS);

/** A state of the store: versions count its changes, and are given out again in a new era. */

export interface StoreRevision {
  readonly era: number;
  readonly version: number;
}

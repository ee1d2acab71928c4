/** Places that daemons lend each other for requests at brittle upstreams. */

/**
 * How the use of a place ended. `abandoned`: the request was given up, and the upstream may still
 * have it or not have read it yet.
 */
export type PlaceOutcome = 'unused' | 'ended' | 'turnedAway' | 'abandoned';

/** For one request in flight at one upstream. */
export interface Place {
  /** Only the first call has an effect. */
  release(outcome: PlaceOutcome): void;
}

/** Identifies a place among those that one process has borrowed. */
export type PlaceId = number;

/** A process that borrows places. */
export interface Borrower {
  readonly vm: string;
  /** Distinguishes it from earlier processes of the VM. */
  readonly process: number;
}

export interface PlaceRequest {
  readonly id: PlaceId;
  /** Incarnation of the upstream. */
  readonly lifeId: string;
  /** What the borrower knows that the upstream can turn away. */
  readonly rejectionsPerS: number;
}

export interface PlaceReply {
  readonly id: PlaceId;
  /** Of the borrower. */
  readonly process: number;
  readonly isGranted: boolean;
  /** Time in ms after which asking again is of use; 0 if granted. */
  readonly waitMs: number;
}

export interface PlaceReturn {
  readonly id: PlaceId;
  readonly lifeId: string;
  readonly isTurnedAway: boolean;
}

/** All that a borrower has in flight at one incarnation of an upstream. */
export interface Holding {
  readonly lifeId: string;
  /** Borrowed from the owner that the message goes to. */
  readonly ids: readonly PlaceId[];
  /** The owner's part of the requests that have no place: sent before the upstream was known as brittle. */
  readonly untracked: number;
}

/** What daemons tell each other about places. */
export type PlaceMessage =
  | { readonly kind: 'ask'; readonly from: Borrower; readonly request: PlaceRequest }
  | { readonly kind: 'reply'; readonly reply: PlaceReply }
  | { readonly kind: 'return'; readonly from: Borrower; readonly returned: readonly PlaceReturn[] }
  | { readonly kind: 'held'; readonly from: Borrower; readonly holdings: readonly Holding[] };

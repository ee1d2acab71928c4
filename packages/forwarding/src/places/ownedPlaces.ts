/** The places at one incarnation of an upstream that this daemon lends. */
import type { OwnedShare } from '@snipehaven/policy';
import {
  FULL_WAIT_MS,
  HELD_EXPIRY_MS,
  MAX_FULL_WAIT_MS,
  REGROWTH_MS,
  REJECTION_WINDOW_MS,
} from './constants.js';
import type { Borrower, PlaceId } from './types.js';

/** So many denied borrowers ask again for each place that is returned, as some no longer need one. */
const ASKED_PER_RETURN = 2;

/** Weight of the newest gap between two returns. */
const RETURN_GAP_SMOOTHING = 0.1;

interface Lent {
  readonly lentAtMs: number;
  /** When the borrower last said that it holds the place; at first when it was lent. */
  readonly confirmedAtMs: number;
}

interface BorrowerState {
  readonly places: Map<PlaceId, Lent>;
  untracked: number;
  /** When it last named all that it holds. */
  heardAtMs: number;
}

/** A request for a place that waits until one is free. */
export interface Waiting {
  readonly borrower: Borrower;
  readonly id: PlaceId;
  readonly share: OwnedShare;
  grant(): void;
}

const getKey = ({ vm, process }: Borrower): string => `${vm}/${process}`;

export class OwnedPlaces {
  readonly #borrowers = new Map<string, BorrowerState>();

  /** Of the last second, oldest first. */
  #rejectedAtMs: number[] = [];

  /** Most requests in flight that were not turned away lately; undefined while nothing limits them. */
  #bearable: number | undefined;

  #limitedAtMs = -Infinity;

  /** When borrowers were last denied a place. */
  readonly #deniedAtMs = new Map<string, number>();

  #returnedAtMs = -Infinity;

  /** Mean time between two returns. */
  #returnGapMs = FULL_WAIT_MS;

  /** Oldest first. */
  readonly #waiting = new Set<Waiting>();

  /** Returns 0 if the place is lent, otherwise the time in ms after which asking is of use. */
  lend(borrower: Borrower, id: PlaceId, share: OwnedShare, nowMs: number): number {
    this.#expire(nowMs);
    const waitMs = this.#getWaitMs(share, nowMs);
    if (waitMs === 0) {
      const lent = { lentAtMs: nowMs, confirmedAtMs: nowMs };
      this.#getState(borrower, nowMs).places.set(id, lent);
    }
    return waitMs;
  }

  /** Counts a denial; returns the time in ms after which its borrower may ask again. */
  deny(borrower: Borrower, nowMs: number): number {
    this.#deniedAtMs.set(getKey(borrower), nowMs);
    for (const [key, atMs] of this.#deniedAtMs) {
      if (nowMs - atMs > MAX_FULL_WAIT_MS) {
        this.#deniedAtMs.delete(key);
      }
    }
    const turnMs = (this.#deniedAtMs.size * this.#returnGapMs) / ASKED_PER_RETURN;
    return Math.min(MAX_FULL_WAIT_MS, Math.max(FULL_WAIT_MS, turnMs));
  }

  /** As many may wait as places are lent: their turn comes within the time of one request. */
  canWait({ places }: OwnedShare): boolean {
    return this.#waiting.size < places;
  }

  /** Returns a function that ends the wait; false if a place was lent meanwhile. */
  wait(one: Waiting): () => boolean {
    this.#waiting.add(one);
    return () => this.#waiting.delete(one);
  }

  lendToWaiting(nowMs: number): void {
    for (const one of this.#waiting) {
      if (this.lend(one.borrower, one.id, one.share, nowMs) > 0) {
        return;
      }
      this.#waiting.delete(one);
      one.grant();
    }
  }

  /** Returns are told more than once; only the first one counts. */
  takeBack(borrower: Borrower, id: PlaceId, isTurnedAway: boolean, nowMs: number): void {
    const places = this.#borrowers.get(getKey(borrower))?.places;
    if (places?.has(id) !== true) {
      return;
    }
    if (isTurnedAway) {
      this.#rejectedAtMs.push(nowMs);
      this.#bearable = Math.max(1, Math.min(this.#getBearable(nowMs), this.countInFlight() - 1));
      this.#limitedAtMs = nowMs;
    }
    places.delete(id);
    const gapMs = Math.min(MAX_FULL_WAIT_MS, nowMs - this.#returnedAtMs);
    this.#returnGapMs += (gapMs - this.#returnGapMs) * RETURN_GAP_SMOOTHING;
    this.#returnedAtMs = nowMs;
  }

  /**
   * Applies what a borrower says that it holds. Places that it does not know of, as their reply was lost
   * or came late, are free; unknown ones were lent by an earlier process of this daemon.
   */
  reconcile(
    borrower: Borrower,
    ids: readonly PlaceId[],
    untracked: number,
    { nowMs, recentMs }: { readonly nowMs: number; readonly recentMs: number },
  ): void {
    const state = this.#getState(borrower, nowMs);
    state.untracked = untracked;
    state.heardAtMs = nowMs;
    const held = new Set(ids);
    for (const [id, { lentAtMs }] of state.places) {
      if (!held.has(id) && nowMs - lentAtMs > recentMs) {
        state.places.delete(id);
      }
    }
    ids.forEach((id) => {
      const { lentAtMs = -Infinity } = state.places.get(id) ?? {};
      state.places.set(id, { lentAtMs, confirmedAtMs: nowMs });
    });
  }

  /** Requests in flight for which places were lent, and this owner's part of those without one. */
  countInFlight(): number {
    return [...this.#borrowers.values()].reduce(
      (sum, { places, untracked }) => sum + places.size + untracked,
      0,
    );
  }

  #getWaitMs({ places, rejectionsPerS }: OwnedShare, nowMs: number): number {
    this.#rejectedAtMs = this.#rejectedAtMs.filter((atMs) => atMs > nowMs - REJECTION_WINDOW_MS);
    const [oldest] = this.#rejectedAtMs;
    const left = rejectionsPerS - this.#rejectedAtMs.length;
    if (oldest !== undefined && this.#countLentSince(this.#limitedAtMs) >= left) {
      return left <= 0 ? oldest + REJECTION_WINDOW_MS - nowMs : FULL_WAIT_MS;
    }
    return this.countInFlight() < Math.min(places, this.#getBearable(nowMs)) ? 0 : FULL_WAIT_MS;
  }

  /** Requests that are in flight, and were sent after the last rejection, may all be turned away. */
  #countLentSince(sinceMs: number): number {
    return [...this.#borrowers.values()]
      .flatMap(({ places }) => [...places.values()])
      .filter(({ lentAtMs }) => lentAtMs >= sinceMs).length;
  }

  /** Grows with time after a rejection, as other requests end and memory becomes free. */
  #getBearable(nowMs: number): number {
    if (this.#bearable === undefined) {
      return Infinity;
    }
    const calmMs = Math.max(0, nowMs - this.#limitedAtMs - REJECTION_WINDOW_MS);
    return this.#bearable + Math.floor(calmMs / REGROWTH_MS);
  }

  #getState(borrower: Borrower, nowMs: number): BorrowerState {
    const key = getKey(borrower);
    const state = this.#borrowers.get(key) ?? { places: new Map(), untracked: 0, heardAtMs: nowMs };
    this.#borrowers.set(key, state);
    return state;
  }

  #expire(nowMs: number): void {
    for (const [key, state] of this.#borrowers) {
      for (const [id, { confirmedAtMs }] of state.places) {
        if (nowMs - confirmedAtMs > HELD_EXPIRY_MS) {
          state.places.delete(id);
        }
      }
      if (nowMs - state.heardAtMs > HELD_EXPIRY_MS) {
        state.untracked = 0;
      }
      if (state.places.size === 0 && state.untracked === 0) {
        this.#borrowers.delete(key);
      }
    }
  }
}

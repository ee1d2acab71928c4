/** Lends the places at brittle upstreams that this daemon owns, to itself and to other daemons. */
import { countPlaceOwners, getOwnedShare, type OwnedShare } from '@snipehaven/policy';
import { HELD_INTERVAL_MS, NOT_LENDING_WAIT_MS, QUEUE_WAIT_MS } from './constants.js';
import { OwnedPlaces } from './ownedPlaces.js';
import type { Borrower, Holding, PlaceReply, PlaceRequest, PlaceReturn } from './types.js';

export interface PlaceLenderOptions {
  /** Undefined if the upstream is not listed. */
  findSlots(lifeId: string): number | undefined;
  /** What this daemon knows that the upstream can turn away; undefined if it does not know of it. */
  findRejectionsPerS(lifeId: string): number | undefined;
  /** Rank of this daemon among so many owners of the upstream; undefined if it is none of them. */
  findOwnerRank(lifeId: string, owners: number): number | undefined;
  /** A daemon that has just started does not know yet what others hold. */
  isAcquainted(): boolean;
}

export class PlaceLender {
  readonly #options: PlaceLenderOptions;

  /** By incarnation of the upstream. */
  readonly #owned = new Map<string, OwnedPlaces>();

  constructor(options: PlaceLenderOptions) {
    this.#options = options;
  }

  /** Calls back once: at once, or when a place is free, or when none became free in time. */
  lend(from: Borrower, request: PlaceRequest, reply: (reply: PlaceReply) => void): void {
    const { id, lifeId } = request;
    const tell = (waitMs: number): void =>
      reply({ id, process: from.process, isGranted: waitMs === 0, waitMs });
    const share = this.#getShare(request);
    if (share === undefined) {
      tell(NOT_LENDING_WAIT_MS);
      return;
    }
    const owned = this.#getOwned(lifeId);
    const waitMs = owned.lend(from, id, share, performance.now());
    if (waitMs === 0) {
      tell(0);
      return;
    }
    if (!owned.canWait(share)) {
      tell(Math.max(waitMs, owned.deny(from, performance.now())));
      return;
    }
    const cancel = owned.wait({ borrower: from, id, share, grant: () => tell(0) });
    setTimeout(() => {
      if (cancel()) {
        tell(owned.deny(from, performance.now()));
      }
    }, QUEUE_WAIT_MS).unref();
  }

  takeBack(from: Borrower, returned: readonly PlaceReturn[]): void {
    returned.forEach(({ id, lifeId, isTurnedAway }) => {
      const owned = this.#owned.get(lifeId);
      owned?.takeBack(from, id, isTurnedAway, performance.now());
      owned?.lendToWaiting(performance.now());
    });
  }

  /** Applies what a borrower holds, also of places that an earlier process of this daemon lent. */
  reconcile(from: Borrower, holdings: readonly Holding[]): void {
    const times = { nowMs: performance.now(), recentMs: HELD_INTERVAL_MS };
    holdings.forEach(({ lifeId, ids, untracked }) =>
      this.#getOwned(lifeId).reconcile(from, ids, untracked, times),
    );
    this.#forgetUnlisted();
  }

  /** Requests in flight at the upstream by the places of this owner. */
  countInFlight(lifeId: string): number {
    return this.#owned.get(lifeId)?.countInFlight() ?? 0;
  }

  /** Undefined if this daemon lends no places there, or none yet. */
  #getShare({ lifeId, rejectionsPerS: told }: PlaceRequest): OwnedShare | undefined {
    const { findSlots, findRejectionsPerS, findOwnerRank, isAcquainted } = this.#options;
    const slots = findSlots(lifeId);
    const rejectionsPerS = Math.min(told, findRejectionsPerS(lifeId) ?? told);
    if (slots === undefined || !isAcquainted()) {
      return undefined;
    }
    const owners = countPlaceOwners(slots, rejectionsPerS);
    const rank = findOwnerRank(lifeId, owners);
    return rank === undefined ? undefined : getOwnedShare({ slots, rejectionsPerS }, owners, rank);
  }

  #getOwned(lifeId: string): OwnedPlaces {
    const owned = this.#owned.get(lifeId) ?? new OwnedPlaces();
    this.#owned.set(lifeId, owned);
    return owned;
  }

  #forgetUnlisted(): void {
    [...this.#owned.keys()]
      .filter((lifeId) => this.#options.findSlots(lifeId) === undefined)
      .forEach((lifeId) => this.#owned.delete(lifeId));
  }
}

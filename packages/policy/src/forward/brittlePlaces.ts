/**
 * Divides the places of an upstream that falls over when it turns many requests away. Few daemons
 * own them and lend them to all, one for each request in flight, so that the sum holds whatever the
 * others know of each other.
 */
import { divideByRank } from './divideByRank.js';

/** Part of the slots that is not lent: some are taken by what no daemon counts, as new connections. */
const MARGIN_SHARE = 0.1;

/** With two owners, half of the places can be lent while one of them is away. */
const MAX_OWNERS = 2;

/** Requests that all daemons together may have in flight there. */
export const getSafePlaces = (slots: number): number =>
  Math.max(1, Math.floor(slots * (1 - MARGIN_SHARE)));

/** Fewer than two places, or rejections that it bears, can't be divided. */
export const countPlaceOwners = (slots: number, rejectionsPerS: number): number =>
  Math.max(1, Math.min(MAX_OWNERS, getSafePlaces(slots), Math.floor(rejectionsPerS)));

export interface OwnedShare {
  /** Requests in flight for which this owner lends places. */
  readonly places: number;
  /** Requests a second that may be turned away there with places of this owner. */
  readonly rejectionsPerS: number;
}

/** `rank`: of the owner among the `owners` of the upstream. */
export const getOwnedShare = (
  { slots, rejectionsPerS }: { readonly slots: number; readonly rejectionsPerS: number },
  owners: number,
  rank: number,
): OwnedShare => ({
  places: divideByRank(getSafePlaces(slots), { daemons: owners, rank }),
  rejectionsPerS: divideByRank(Math.floor(rejectionsPerS), { daemons: owners, rank }),
});

/**
 * What one daemon may send to an upstream that falls over when it has to turn many requests away for
 * want of room.
 */

/** Part of the places that is left to requests of other daemons that are not known yet. */
const MARGIN_SHARE = 0.25;

export interface BrittlePlaces {
  /** Requests that the upstream runs at a time. */
  readonly slots: number;
  /** Daemons that send to it, including this one. */
  readonly daemons: number;
  /** Its requests in flight from the other daemons, as far as known. */
  readonly others: number;
}

/**
 * The most requests that this daemon may have in flight there: an equal share of the places, or what the
 * others leave.
 */
export const getBrittlePlaces = ({ slots, daemons, others }: BrittlePlaces): number => {
  const margin = Math.ceil(slots * MARGIN_SHARE);
  return Math.max(1, Math.floor(slots / daemons), slots - others - margin);
};

const MS_PER_S = 1_000;

export interface BrittleLimit {
  /** Requests a second that the upstream can turn away, from all daemons together. */
  readonly rejectionsPerS: number;
  readonly daemons: number;
}

/**
 * Time in ms for which a daemon sends nothing after it was turned away, so that all daemons together
 * stay within the limit in any second.
 */
export const getBrittlePauseMs = ({ rejectionsPerS, daemons }: BrittleLimit): number => {
  const share = rejectionsPerS / daemons;
  return share >= 1 ? MS_PER_S / Math.floor(share) : MS_PER_S * Math.ceil(1 / share);
};

/** Decides which of two pins of one session is in force. */
import type { Pin } from './types.js';

const compareText = (a: string, b: string): number => {
  if (a === b) {
    return 0;
  }
  return a < b ? -1 : 1;
};

/**
 * Orders pins of one session by precedence: higher generation, then earlier start, then lower
 * version. The order is total, so holders that merge pins in any order end with the same pin.
 */
export const comparePins = (a: Pin, b: Pin): number =>
  b.generation - a.generation ||
  a.startedAtMs - b.startedAtMs ||
  compareText(a.version, b.version) ||
  compareText(a.model, b.model);

/** The pin in force of two that different holders know. */
export const mergePins = (a: Pin | undefined, b: Pin | undefined): Pin | undefined => {
  if (!a || !b) {
    return a ?? b;
  }
  return comparePins(a, b) <= 0 ? a : b;
};

/**
 * The pin in force when a request offers a pin to the session's owner. Of equal generations the
 * owner's present pin stays, even if the daemons' clocks say otherwise: the owner has already
 * answered with it, and replacing it would move a session whose first answer is in progress.
 */
export const resolveOffer = (present: Pin | undefined, offered: Pin): Pin =>
  present && present.generation >= offered.generation ? present : offered;

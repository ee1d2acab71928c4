/** Which of two pins of one session is in force. */
import type { Pin } from './types.js';

const compareText = (a: string, b: string): number => {
  if (a === b) {
    return 0;
  }
  return a < b ? -1 : 1;
};

/**
 * Orders pins of one session, the one in force first: the higher generation, then the earlier start,
 * then the lower version. A total order, so that holders that merge in any order end with the same pin.
 */
export const comparePins = (a: Pin, b: Pin): number =>
  b.generation - a.generation ||
  a.startedAtMs - b.startedAtMs ||
  compareText(a.version, b.version) ||
  compareText(a.model, b.model);

/** The pin in force of those that two holders know. */
export const mergePins = (a: Pin | undefined, b: Pin | undefined): Pin | undefined => {
  if (!a || !b) {
    return a ?? b;
  }
  return comparePins(a, b) <= 0 ? a : b;
};

/**
 * The pin in force when a request offers one to the session's owner. Of equal generation the one that
 * the owner already answered with stays, whatever the clocks of the daemons said: replacing it would
 * move a session whose first answer is on its way.
 */
export const acceptOffer = (present: Pin | undefined, offered: Pin): Pin =>
  present && present.generation >= offered.generation ? present : offered;

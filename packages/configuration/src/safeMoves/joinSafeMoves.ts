/** Merge function of safe moves: commutative, associative and idempotent. */
import type { SafeMove } from '@snipehaven/protocol';

/**
 * Breaks ties between moves of equal generation and state, so that all daemons keep the same one.
 */
const compareTexts = (a: SafeMove, b: SafeMove): number => {
  const textOfA = `${a.by}\u0000${a.reason}`;
  const textOfB = `${b.by}\u0000${b.reason}`;
  return textOfA < textOfB ? -1 : Number(textOfA > textOfB);
};

/**
 * Positive if `a` takes precedence over `b`: the higher generation wins, then the active one, so
 * that a withdrawal wins over a concurrent lift, then the earlier one.
 */
export const compareSafeMoves = (a: SafeMove, b: SafeMove): number =>
  a.generation - b.generation ||
  Number(a.isActive) - Number(b.isActive) ||
  b.atMs - a.atMs ||
  compareTexts(b, a);

/** Returns the move that takes precedence; both must have the same key. */
export const joinSafeMoves = (a: SafeMove, b: SafeMove): SafeMove =>
  compareSafeMoves(a, b) >= 0 ? a : b;

/** Quantities as people read them. */

const MICRO_USD = 1_000_000;
const SMALL_USD = 0.01;
const SMALL_DIGITS = 6;
const DIGITS = 4;

/** Micro-dollars as dollars; a small amount has digits enough not to read as nothing. */
export const formatUsd = (costMicroUsd: number): string => {
  const usd = costMicroUsd / MICRO_USD;
  const isSmall = usd !== 0 && Math.abs(usd) < SMALL_USD;
  return `$${usd.toFixed(isSmall ? SMALL_DIGITS : DIGITS)}`;
};

/** Milliseconds since the epoch as ISO time. */
export const formatTime = (timeMs: number): string => new Date(timeMs).toISOString();

/** A rating with three digits, or a dash. */
export const formatRating = (rating: number | undefined): string => rating?.toFixed(3) ?? '-';

/** Quantities as people read them. */

const MICRO_USD = 1_000_000;

/** Micro-dollars as dollars. */
export const formatUsd = (costMicroUsd: number): string =>
  `$${(costMicroUsd / MICRO_USD).toFixed(4)}`;

/** Milliseconds since the epoch as ISO time. */
export const formatTime = (timeMs: number): string => new Date(timeMs).toISOString();

/** A rating with three digits, or a dash. */
export const formatRating = (rating: number | undefined): string => rating?.toFixed(3) ?? '-';

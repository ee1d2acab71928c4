/** Measures time that passed, for a holder that must not count on more than it has. */

/**
 * What goes wrong: a lease outlives its time in the eyes of its holder, because the clock that it looks
 * at stood still: a suspended VM may stop the monotonic clock, and a correction may set back the wall
 * clock. One notices two holders at once. The larger of both errs towards giving up early.
 */
export const startElapsedTime = (): (() => number) => {
  const startMs = performance.now();
  const startWallMs = Date.now();
  return () => Math.max(performance.now() - startMs, Date.now() - startWallMs);
};

/** Measures elapsed time for a lease holder, erring on the side of too much. */

/**
 * A lease would outlast its duration in the view of its holder if the holder's clock stopped: a
 * suspended VM may stop the monotonic clock, and a correction may set the wall clock back. There
 * would be two holders at once. The larger of both times is used, so that the holder rather gives
 * up too early.
 */
export const startElapsedTime = (): (() => number) => {
  const startMs = performance.now();
  const startWallMs = Date.now();
  return () => Math.max(performance.now() - startMs, Date.now() - startWallMs);
};

/** Time that never goes back and never stands still. */

/**
 * What goes wrong: the monotonic clock may stand still while a VM is suspended, and the wall clock may be
 * set back; either way a share would last longer here than at the allocator, which one would notice as a
 * team above its limit. The larger of both, and never less than before, errs towards an early end.
 */
export const createSteadyClock = (): (() => number) => {
  const startWallMs = Date.now();
  const startMs = performance.now();
  let latestMs = startWallMs;
  return () => {
    const elapsedMs = Math.max(performance.now() - startMs, Date.now() - startWallMs);
    latestMs = Math.max(latestMs, startWallMs + elapsedMs);
    return latestMs;
  };
};

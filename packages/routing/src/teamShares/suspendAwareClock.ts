/** A clock that never goes back and does not stop while the machine is suspended. */

/**
 * The monotonic clock may stop while a VM is suspended, and the wall clock may be set back. In
 * either case a share would last longer here than at the allocator, and the team would exceed its
 * limit. Taking the larger of both, and never less than before, errs towards early expiry.
 */
export const createSuspendAwareClock = (): (() => number) => {
  const startWallMs = Date.now();
  const startMs = performance.now();
  let latestMs = startWallMs;
  return () => {
    const elapsedMs = Math.max(performance.now() - startMs, Date.now() - startWallMs);
    latestMs = Math.max(latestMs, startWallMs + elapsedMs);
    return latestMs;
  };
};

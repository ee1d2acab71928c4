/** How many requests a daemon lets run at once. */
import type { UpstreamEntry } from '@snipehaven/routing';

const MIN_RUNNING = 16;
/** Requests do not come evenly to the daemons; the upstreams' own refusals guard the sum. */
const OVERSUBSCRIPTION = 2;

/** This daemon's part of the room at the upstreams of its data centre, with slack. */
export const getMaxRunning = (
  entries: readonly UpstreamEntry[],
  dataCentre: string,
  localDaemons: number,
): number => {
  const room = entries
    .filter((entry) => entry.spec.dataCentre === dataCentre)
    .reduce((sum, entry) => sum + entry.spec.maxConcurrency, 0);
  return Math.max(MIN_RUNNING, Math.ceil((room * OVERSUBSCRIPTION) / Math.max(1, localDaemons)));
};

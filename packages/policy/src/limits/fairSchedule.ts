/** Simulates the order in which the queued requests would run if no further ones arrived. */
import { listWaitingTeams } from './fairOrder.js';
import type { AdmissionRequest, AdmissionSettings, AdmissionState } from './types.js';

/** A queued request and the total cost of the requests before it. */
export interface ScheduledRequest {
  readonly request: AdmissionRequest;
  readonly costAhead: number;
}

interface TeamCursor {
  readonly waiting: readonly AdmissionRequest[];
  readonly weight: number;
  index: number;
  tag: number;
}

/** Cost units that complete per second with all slots in use; 0 while unknown. */
export const getDrainPerSecond = (
  { serviceMs }: AdmissionState,
  { maxRunning }: AdmissionSettings,
): number => (serviceMs > 0 ? (maxRunning * 1_000) / serviceMs : 0);

/** Waiting time behind the given amount of work; 0 while the drain rate is unknown. */
export const toWaitMs = (costAhead: number, drainPerSecond: number): number =>
  drainPerSecond > 0 ? (costAhead * 1_000) / drainPerSecond : 0;

const findNextCursor = (cursors: readonly TeamCursor[]): TeamCursor | undefined => {
  let best: TeamCursor | undefined;
  for (const cursor of cursors) {
    const isDone = cursor.index >= cursor.waiting.length;
    if (!isDone && (best === undefined || cursor.tag < best.tag)) {
      best = cursor;
    }
  }
  return best;
};

const createCursors = (state: AdmissionState): readonly TeamCursor[] =>
  listWaitingTeams(state).map(([, { waiting, weight, startTag }]) => ({
    waiting,
    weight,
    index: 0,
    tag: startTag,
  }));

/**
 * Walks the fair queueing order. A request that `keep` rejects does not count as work ahead of
 * later ones. If it did, a burst would shed requests that can still be served in time.
 */
export const walkFairSchedule = (
  state: AdmissionState,
  keep: (scheduled: ScheduledRequest) => boolean,
): void => {
  const cursors = createCursors(state);
  let costAhead = 0;
  for (let next = findNextCursor(cursors); next; next = findNextCursor(cursors)) {
    const request = next.waiting[next.index] as AdmissionRequest;
    next.index += 1;
    if (keep({ request, costAhead })) {
      costAhead += request.cost;
      next.tag += request.cost / next.weight;
    }
  }
};

/** Returns the expected queueing time of a queued request. */
export const getExpectedWaitMs = (
  state: AdmissionState,
  settings: AdmissionSettings,
  { id }: AdmissionRequest,
): number => {
  let found = 0;
  walkFairSchedule(state, ({ request, costAhead }) => {
    found = request.id === id ? costAhead : found;
    return true;
  });
  return toWaitMs(found, getDrainPerSecond(state, settings));
};

/**
 * Start-time fair queueing between teams. Each team's next request has a start tag in virtual time.
 * The request with the smallest tag runs first and advances its team's tag by cost / weight. A team
 * that floods the queue advances its own tag and waits behind the others; a team that was idle
 * starts at the current virtual time, so that it cannot accumulate credit. Within a team, higher
 * priority goes first.
 */
import { RESERVED_SLOTS_FACTOR } from './constants.js';
import type { AdmissionRequest, AdmissionState, TeamQueue } from './types.js';

const insertByPriority = (
  waiting: readonly AdmissionRequest[],
  request: AdmissionRequest,
): readonly AdmissionRequest[] => {
  const index = waiting.findIndex((other) => other.priority < request.priority);
  const at = index < 0 ? waiting.length : index;
  return [...waiting.slice(0, at), request, ...waiting.slice(at)];
};

/** Returns a team's queue; one without queued requests starts at the current virtual time. */
const getTeamQueue = (state: AdmissionState, { team, weight }: AdmissionRequest): TeamQueue => {
  const known = state.teams[team];
  const startTag = Math.max(state.virtualTime, known?.startTag ?? 0);
  return known && known.waiting.length > 0
    ? { ...known, weight }
    : { weight, running: known?.running ?? 0, startTag, waiting: [] };
};

export const enqueue = (state: AdmissionState, request: AdmissionRequest): AdmissionState => {
  const queue = getTeamQueue(state, request);
  const waiting = insertByPriority(queue.waiting, request);
  const teams = { ...state.teams, [request.team]: { ...queue, waiting } };
  return { ...state, teams, queued: state.queued + 1 };
};

/** Lists the non-empty queues by team. */
export const listWaitingTeams = (state: AdmissionState): readonly [string, TeamQueue][] =>
  Object.entries(state.teams).filter(([, queue]) => queue.waiting.length > 0);

const isActive = ({ running, waiting }: TeamQueue): boolean => running > 0 || waiting.length > 0;

/**
 * Whether another active team runs more requests in proportion to its weight, or this team does not
 * exceed its weighted part of the slots. The second condition alone would treat a team as large
 * that only uses slots which smaller teams leave idle.
 */
const isWithinFairShare = (
  state: AdmissionState,
  queue: TeamQueue,
  maxRunning: number,
): boolean => {
  const active = Object.values(state.teams).filter(isActive);
  const weights = active.reduce((sum, { weight }) => sum + weight, 0);
  const largest = Math.max(...active.map(({ running, weight }) => running / weight));
  const next = (queue.running + 1) / queue.weight;
  return next < largest || next <= maxRunning / weights;
};

/**
 * The last free slots are reserved for smaller teams. If a flooding team could take them, each
 * request of the other teams would wait for a slot to be released. That delays every first token by
 * about the slot time divided by the number of slots, whatever the fair order.
 */
const isEligibleForSlot = (
  state: AdmissionState,
  queue: TeamQueue,
  maxRunning: number,
): boolean => {
  const reserved = Math.floor(RESERVED_SLOTS_FACTOR * Math.sqrt(maxRunning));
  const hasUnreservedSlot = state.running < maxRunning - reserved;
  return (
    hasUnreservedSlot || (state.running < maxRunning && isWithinFairShare(state, queue, maxRunning))
  );
};

const findNextTeam = (state: AdmissionState, maxRunning: number): [string, TeamQueue] | undefined =>
  listWaitingTeams(state)
    .filter(([, queue]) => isEligibleForSlot(state, queue, maxRunning))
    .reduce<[string, TeamQueue] | undefined>(
      (best, entry) => (best && best[1].startTag <= entry[1].startTag ? best : entry),
      undefined,
    );

/** Advances the team's start tag by cost / weight and counts the request as running. */
const chargeTeam = (
  state: AdmissionState,
  request: AdmissionRequest,
  queue: TeamQueue,
): AdmissionState => {
  const startTag = queue.startTag + request.cost / queue.weight;
  const charged = { ...queue, startTag, running: queue.running + 1 };
  return {
    ...state,
    running: state.running + 1,
    teams: { ...state.teams, [request.team]: charged },
    virtualTime: Math.max(state.virtualTime, queue.startTag),
  };
};

/** Removes and returns the next request, if it is eligible for a free slot. */
export const dequeue = (
  state: AdmissionState,
  maxRunning: number,
): { readonly state: AdmissionState; readonly request: AdmissionRequest } | undefined => {
  const first = findNextTeam(state, maxRunning);
  if (first === undefined) {
    return undefined;
  }
  const [, queue] = first;
  const [request, ...waiting] = queue.waiting as [AdmissionRequest, ...AdmissionRequest[]];
  const charged = chargeTeam(state, request, { ...queue, waiting });
  return { state: { ...charged, queued: state.queued - 1 }, request };
};

/** Releases a slot of the team. */
export const releaseSlot = (state: AdmissionState, team: string): AdmissionState => {
  const queue = state.teams[team];
  const running = Math.max(0, state.running - 1);
  if (queue === undefined) {
    return { ...state, running };
  }
  const released = { ...queue, running: Math.max(0, queue.running - 1) };
  return { ...state, running, teams: { ...state.teams, [team]: released } };
};

/** Removes shed requests from the queues without charging their teams. */
export const removeRequests = (state: AdmissionState, ids: ReadonlySet<string>): AdmissionState => {
  const keep = (queue: TeamQueue): TeamQueue => ({
    ...queue,
    waiting: queue.waiting.filter((request) => !ids.has(request.id)),
  });
  const teams = Object.fromEntries(
    Object.entries(state.teams).map(([team, queue]) => [team, keep(queue)]),
  );
  const queued = Object.values(teams).reduce((sum, queue) => sum + queue.waiting.length, 0);
  return { ...state, teams, queued };
};

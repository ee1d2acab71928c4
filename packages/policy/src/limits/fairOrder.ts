/**
 * Start-time fair queueing between teams. Each team's next request carries a start tag in virtual
 * time; the smallest goes first and moves its team's tag on by cost / weight. A team that floods
 * moves its own tag ahead and waits behind everyone else; one that was idle starts at the present
 * virtual time and can't save up claims. Within a team the higher priority goes first.
 */
import { RESERVED_DEVIATIONS } from './constants.js';
import type { AdmissionRequest, AdmissionState, TeamQueue } from './types.js';

const insertByPriority = (
  waiting: readonly AdmissionRequest[],
  request: AdmissionRequest,
): readonly AdmissionRequest[] => {
  const index = waiting.findIndex((other) => other.priority < request.priority);
  const at = index < 0 ? waiting.length : index;
  return [...waiting.slice(0, at), request, ...waiting.slice(at)];
};

/** A team's queue; a team without requests in line starts at the present virtual time. */
const getTeamQueue = (state: AdmissionState, { team, weight }: AdmissionRequest): TeamQueue => {
  const known = state.teams[team];
  const startTag = Math.max(state.virtualTime, known?.startTag ?? 0);
  return known && known.waiting.length > 0
    ? { ...known, weight }
    : { weight, running: known?.running ?? 0, startTag, waiting: [] };
};

/** Adds a request to its team's queue. */
export const enqueue = (state: AdmissionState, request: AdmissionRequest): AdmissionState => {
  const queue = getTeamQueue(state, request);
  const waiting = insertByPriority(queue.waiting, request);
  const teams = { ...state.teams, [request.team]: { ...queue, waiting } };
  return { ...state, teams, queued: state.queued + 1 };
};

/** Queues that hold requests, by team. */
export const listWaitingTeams = (state: AdmissionState): readonly [string, TeamQueue][] =>
  Object.entries(state.teams).filter(([, queue]) => queue.waiting.length > 0);

const isActive = ({ running, waiting }: TeamQueue): boolean => running > 0 || waiting.length > 0;

/**
 * Another active team runs more by its weight, or this one no more than its part of the slots.
 * The part alone would count a team as large that only uses what small ones leave.
 */
const isSmall = (state: AdmissionState, queue: TeamQueue, maxRunning: number): boolean => {
  const active = Object.values(state.teams).filter(isActive);
  const weights = active.reduce((sum, { weight }) => sum + weight, 0);
  const largest = Math.max(...active.map(({ running, weight }) => running / weight));
  const next = (queue.running + 1) / queue.weight;
  return next < largest || next <= maxRunning / weights;
};

/**
 * The last free slots are kept for the smaller teams. Were they given to a team that floods,
 * each request of the others would wait for a slot to end: one notices a wait of about the slot
 * time divided by the slots on every first token, whatever the fair order.
 */
const mayRun = (state: AdmissionState, queue: TeamQueue, maxRunning: number): boolean => {
  const reserved = Math.floor(RESERVED_DEVIATIONS * Math.sqrt(maxRunning));
  const isRoomy = state.running < maxRunning - reserved;
  return isRoomy || (state.running < maxRunning && isSmall(state, queue, maxRunning));
};

const findFirstTeam = (
  state: AdmissionState,
  maxRunning: number,
): [string, TeamQueue] | undefined =>
  listWaitingTeams(state)
    .filter(([, queue]) => mayRun(state, queue, maxRunning))
    .reduce<[string, TeamQueue] | undefined>(
      (best, entry) => (best && best[1].startTag <= entry[1].startTag ? best : entry),
      undefined,
    );

/** Moves the team's next start on by cost / weight and counts the request as running. */
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

/** Takes the request whose turn it is out of the queues, if it may have a slot. */
export const dequeue = (
  state: AdmissionState,
  maxRunning: number,
): { readonly state: AdmissionState; readonly request: AdmissionRequest } | undefined => {
  const first = findFirstTeam(state, maxRunning);
  if (first === undefined) {
    return undefined;
  }
  const [, queue] = first;
  const [request, ...waiting] = queue.waiting as [AdmissionRequest, ...AdmissionRequest[]];
  const charged = chargeTeam(state, request, { ...queue, waiting });
  return { state: { ...charged, queued: state.queued - 1 }, request };
};

/** A request of the team has given its slot back. */
export const releaseSlot = (state: AdmissionState, team: string): AdmissionState => {
  const queue = state.teams[team];
  const running = Math.max(0, state.running - 1);
  if (queue === undefined) {
    return { ...state, running };
  }
  const released = { ...queue, running: Math.max(0, queue.running - 1) };
  return { ...state, running, teams: { ...state.teams, [team]: released } };
};

/** Takes requests that were given up out of the queues; they are not charged. */
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

/**
 * Start-time fair queueing between teams. Each team's next request carries a start tag in virtual
 * time; the smallest goes first and moves its team's tag on by cost / weight. A team that floods
 * moves its own tag ahead and waits behind everyone else; one that was idle starts at the present
 * virtual time and can't save up claims. Within a team the higher priority goes first.
 */
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
    : { weight, startTag, waiting: [] };
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

const findFirstTeam = (state: AdmissionState): [string, TeamQueue] | undefined =>
  listWaitingTeams(state).reduce<[string, TeamQueue] | undefined>(
    (best, entry) => (best && best[1].startTag <= entry[1].startTag ? best : entry),
    undefined,
  );

/** Charges a request to its team: the team's next one starts later by cost / weight. */
export const chargeTeam = (
  state: AdmissionState,
  request: AdmissionRequest,
  queue: TeamQueue = getTeamQueue(state, request),
): AdmissionState => {
  const startTag = queue.startTag + request.cost / queue.weight;
  const teams = { ...state.teams, [request.team]: { ...queue, startTag } };
  return { ...state, teams, virtualTime: Math.max(state.virtualTime, queue.startTag) };
};

/** Takes the request whose turn it is out of the queues. */
export const dequeue = (
  state: AdmissionState,
): { readonly state: AdmissionState; readonly request: AdmissionRequest } | undefined => {
  const first = findFirstTeam(state);
  if (first === undefined) {
    return undefined;
  }
  const [, queue] = first;
  const [request, ...waiting] = queue.waiting as [AdmissionRequest, ...AdmissionRequest[]];
  const charged = chargeTeam(state, request, { ...queue, waiting });
  return { state: { ...charged, queued: state.queued - 1 }, request };
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

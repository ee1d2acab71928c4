/** How long a request will wait in the fair order. */
import { listWaitingTeams } from './fairOrder.js';
import type { AdmissionRequest, AdmissionSettings, AdmissionState, TeamQueue } from './types.js';

/** Units of cost that finish per second with all slots in use; 0 while unknown. */
export const getDrainPerSecond = (
  { serviceMs }: AdmissionState,
  { maxRunning }: AdmissionSettings,
): number => (serviceMs > 0 ? (maxRunning * 1_000) / serviceMs : 0);

const sumCost = (requests: readonly AdmissionRequest[]): number =>
  requests.reduce((sum, request) => sum + request.cost, 0);

const getCostAheadInTeam = (queue: TeamQueue | undefined, request: AdmissionRequest): number => {
  const waiting = queue?.waiting ?? [];
  const index = waiting.findIndex(
    (other) => other.id === request.id || other.priority < request.priority,
  );
  return sumCost(index < 0 ? waiting : waiting.slice(0, index));
};

/** Work that goes before the request: its team's, and of each other team its share meanwhile. */
const getCostAhead = (state: AdmissionState, request: AdmissionRequest): number => {
  const own = state.teams[request.team];
  const ahead = getCostAheadInTeam(own, request);
  const ownTag =
    own && own.waiting.length > 0 ? own.startTag : Math.max(state.virtualTime, own?.startTag ?? 0);
  const turnTag = ownTag + ahead / request.weight;
  return listWaitingTeams(state)
    .filter(([team]) => team !== request.team)
    .reduce((sum, [, queue]) => {
      const served = Math.max(0, turnTag - queue.startTag) * queue.weight;
      return sum + Math.min(sumCost(queue.waiting), served);
    }, ahead);
};

/** The expected wait of a request that is in line or about to be. */
export const getExpectedWaitMs = (
  state: AdmissionState,
  settings: AdmissionSettings,
  request: AdmissionRequest,
): number => {
  const drainPerSecond = getDrainPerSecond(state, settings);
  if (drainPerSecond === 0) {
    return 0;
  }
  return (getCostAhead(state, request) * 1_000) / drainPerSecond;
};

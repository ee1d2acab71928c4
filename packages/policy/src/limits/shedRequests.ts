/** Which requests are given up, at once, when there is no room or no time for them. */
import type { Random } from '@snipehaven/common';
import { MAX_WAIT_SHARE, REFUSAL_FADE_MS } from './constants.js';

import { listWaitingTeams, removeRequests } from './fairOrder.js';
import { getDrainPerSecond, toWaitMs, walkFairSchedule } from './fairSchedule.js';
import { getRetryAfterMs } from './getRetryAfterMs.js';
import type {
  AdmissionRefusal,
  AdmissionRefusalReason,
  AdmissionRequest,
  AdmissionSettings,
  AdmissionState,
} from './types.js';

/** Waiting requests whose turn would come after their deadline. */
const findTooLate = (
  state: AdmissionState,
  settings: AdmissionSettings,
  nowMs: number,
): readonly AdmissionRequest[] => {
  const drainPerSecond = getDrainPerSecond(state, settings);
  const late: AdmissionRequest[] = [];
  walkFairSchedule(state, ({ request, costAhead }) => {
    const waitMs = toWaitMs(costAhead, drainPerSecond);
    const readyAtMs = nowMs + waitMs + state.serviceMs * request.cost;
    const maxWaitMs = MAX_WAIT_SHARE * (request.deadlineAtMs - request.arrivedAtMs);
    const waitedMs = nowMs - request.arrivedAtMs + waitMs;
    const isInTime = readyAtMs < request.deadlineAtMs && waitedMs <= maxWaitMs;
    if (!isInTime) {
      late.push(request);
    }
    return isInTime;
  });
  return late;
};

const countRefusal = (state: AdmissionState, nowMs: number): AdmissionState => {
  const fade = Math.exp((state.refusalsAtMs - nowMs) / REFUSAL_FADE_MS);
  return { ...state, recentRefusals: state.recentRefusals * fade + 1, refusalsAtMs: nowMs };
};

/** Counts a refusal and gives it its time to come back. */
export const refuse = (
  state: AdmissionState,
  settings: AdmissionSettings,
  request: AdmissionRequest,
  reason: AdmissionRefusalReason,
  nowMs: number,
  random: Random,
): { readonly state: AdmissionState; readonly refusal: AdmissionRefusal } => {
  const counted = countRefusal(state, nowMs);
  const retryAfterMs = getRetryAfterMs({
    queued: counted.queued,
    drainPerSecond: getDrainPerSecond(counted, settings),
    recentRefusals: counted.recentRefusals,
    random,
  });
  return { state: counted, refusal: { request, reason, retryAfterMs } };
};

/** Takes all waiting requests out that can't be reached in time any more. */
export const shedTooLate = (
  state: AdmissionState,
  settings: AdmissionSettings,
  nowMs: number,
  random: Random,
): { readonly state: AdmissionState; readonly refused: readonly AdmissionRefusal[] } => {
  const late = findTooLate(state, settings, nowMs);
  if (late.length === 0) {
    return { state, refused: [] };
  }
  const refused: AdmissionRefusal[] = [];
  let current = removeRequests(state, new Set(late.map((request) => request.id)));
  late.forEach((request) => {
    const result = refuse(current, settings, request, 'tooLate', nowMs, random);
    current = result.state;
    refused.push(result.refusal);
  });
  return { state: current, refused };
};

/** Of the team that waits for most work by its weight, the last request of the lowest priority. */
export const findDisplaceable = (state: AdmissionState): AdmissionRequest | undefined => {
  const [largest] = listWaitingTeams(state)
    .map(([, queue]) => queue)
    .sort((a, b) => b.waiting.length / b.weight - a.waiting.length / a.weight);
  return largest?.waiting.at(-1);
};

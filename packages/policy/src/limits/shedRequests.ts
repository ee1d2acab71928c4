/** Selects the requests to shed when capacity or time is short; they are refused at once. */
import type { Random } from '@snipehaven/common';
import { MAX_WAIT_FRACTION, REFUSAL_DECAY_MS } from './constants.js';

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

/** Finds queued requests whose turn would come after their deadline or after their maximum wait. */
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
    const maxWaitMs = MAX_WAIT_FRACTION * (request.deadlineAtMs - request.arrivedAtMs);
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
  const decay = Math.exp((state.refusalsAtMs - nowMs) / REFUSAL_DECAY_MS);
  return { ...state, recentRefusals: state.recentRefusals * decay + 1, refusalsAtMs: nowMs };
};

/** Counts a refusal and computes its retry delay. */
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

/** Removes all queued requests that can no longer be served in time. */
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

/**
 * Returns the last request, which has the lowest priority, of the team with the longest queue in
 * proportion to its weight.
 */
export const findRequestToEvict = (state: AdmissionState): AdmissionRequest | undefined => {
  const [largest] = listWaitingTeams(state)
    .map(([, queue]) => queue)
    .sort((a, b) => b.waiting.length / b.weight - a.waiting.length / a.weight);
  return largest?.waiting.at(-1);
};

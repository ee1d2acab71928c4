/** Admits, queues or refuses requests; whoever is refused gets the final answer at once. */
import type { Random } from '@snipehaven/common';
import { SERVICE_TIME_WEIGHT } from './constants.js';
import { getExpectedWaitMs } from './expectedWait.js';
import { chargeTeam, dequeue, enqueue, removeRequests } from './fairOrder.js';
import { findDisplaceable, isTooLate, refuse, shedTooLate } from './shedRequests.js';
import type {
  AdmissionNext,
  AdmissionRefusalReason,
  AdmissionRequest,
  AdmissionResult,
  AdmissionSettings,
  AdmissionState,
} from './types.js';

/** Nothing running, nothing waiting. */
export const createAdmission = (nowMs: number): AdmissionState => ({
  running: 0,
  queued: 0,
  virtualTime: 0,
  teams: {},
  serviceMs: 0,
  recentRefusals: 0,
  refusalsAtMs: nowMs,
});

const refuseNow = (
  state: AdmissionState,
  settings: AdmissionSettings,
  request: AdmissionRequest,
  reason: AdmissionRefusalReason,
  nowMs: number,
  random: Random,
): AdmissionResult => {
  const { state: counted, refusal } = refuse(state, settings, request, reason, nowMs, random);
  const { retryAfterMs } = refusal;
  return { state: counted, decision: { kind: 'refuse', reason, retryAfterMs }, displaced: [] };
};

const queueRequest = (
  state: AdmissionState,
  settings: AdmissionSettings,
  request: AdmissionRequest,
): AdmissionResult => {
  const queued = enqueue(state, request);
  const expectedWaitMs = getExpectedWaitMs(queued, settings, request);
  return { state: queued, decision: { kind: 'queue', expectedWaitMs }, displaced: [] };
};

/** The queue is full: the request takes the place of another, or is refused itself. */
const queueInFull = (
  state: AdmissionState,
  settings: AdmissionSettings,
  request: AdmissionRequest,
  nowMs: number,
  random: Random,
): AdmissionResult => {
  const withRequest = enqueue(state, request);
  const victim = findDisplaceable(withRequest);
  if (victim === undefined || victim.id === request.id) {
    return refuseNow(state, settings, request, 'queueFull', nowMs, random);
  }
  const without = removeRequests(withRequest, new Set([victim.id]));
  const result = refuse(without, settings, victim, 'queueFull', nowMs, random);
  const expectedWaitMs = getExpectedWaitMs(result.state, settings, request);
  const decision = { kind: 'queue', expectedWaitMs } as const;
  return { state: result.state, decision, displaced: [result.refusal] };
};

/** Decides on a request that has just come. */
export const chooseAdmission = (
  state: AdmissionState,
  settings: AdmissionSettings,
  request: AdmissionRequest,
  nowMs: number,
  random: Random,
): AdmissionResult => {
  if (state.queued === 0 && state.running < settings.maxRunning) {
    const charged = chargeTeam(state, request);
    return {
      state: { ...charged, running: state.running + 1 },
      decision: { kind: 'run' },
      displaced: [],
    };
  }
  if (isTooLate(state, settings, request, nowMs)) {
    return refuseNow(state, settings, request, 'tooLate', nowMs, random);
  }
  return state.queued < settings.maxQueued
    ? queueRequest(state, settings, request)
    : queueInFull(state, settings, request, nowMs, random);
};

/** The next request to run, if a slot is free. Call until `next` is left out. */
export const takeNext = (
  state: AdmissionState,
  settings: AdmissionSettings,
  nowMs: number,
  random: Random,
): AdmissionNext => {
  const shed = shedTooLate(state, settings, nowMs, random);
  const taken = shed.state.running < settings.maxRunning ? dequeue(shed.state) : undefined;
  if (taken === undefined) {
    return { state: shed.state, refused: shed.refused };
  }
  const running = { ...taken.state, running: taken.state.running + 1 };
  return { state: running, next: taken.request, refused: shed.refused };
};

/** A request has ended and held its slot for `serviceMs`. */
export const recordCompletion = (
  state: AdmissionState,
  { cost }: Pick<AdmissionRequest, 'cost'>,
  serviceMs: number,
): AdmissionState => {
  const sample = serviceMs / cost;
  const isFirst = state.serviceMs === 0;
  const mean = isFirst
    ? sample
    : state.serviceMs + SERVICE_TIME_WEIGHT * (sample - state.serviceMs);
  return { ...state, running: state.running - 1, serviceMs: mean };
};

/** A waiting request's caller has gone away. */
export const cancelQueued = (state: AdmissionState, id: string): AdmissionState =>
  removeRequests(state, new Set([id]));

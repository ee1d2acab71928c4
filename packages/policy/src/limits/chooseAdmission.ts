/** Admits, queues or refuses requests. A refused caller gets its final answer at once. */
import type { Random } from '@snipehaven/common';
import { SERVICE_TIME_WEIGHT } from './constants.js';
import { dequeue, enqueue, releaseSlot, removeRequests } from './fairOrder.js';
import { getExpectedWaitMs } from './fairSchedule.js';
import { findRequestToEvict, refuse, shedTooLate } from './shedRequests.js';
import type {
  AdmissionNext,
  AdmissionRefusal,
  AdmissionRequest,
  AdmissionResult,
  AdmissionSettings,
  AdmissionState,
} from './types.js';

/** Creates the state of a daemon without running or queued requests. */
export const createAdmission = (nowMs: number): AdmissionState => ({
  running: 0,
  queued: 0,
  virtualTime: 0,
  teams: {},
  serviceMs: 0,
  recentRefusals: 0,
  refusalsAtMs: nowMs,
});

const findRefusalOf = (
  refusals: readonly AdmissionRefusal[],
  { id }: AdmissionRequest,
): AdmissionRefusal | undefined => refusals.find(({ request }) => request.id === id);

/**
 * Sheds queued requests that cannot meet their deadline, and one more if the queue is full. The new
 * request may be among them.
 */
const shedExcess = (
  state: AdmissionState,
  settings: AdmissionSettings,
  nowMs: number,
  random: Random,
): { readonly state: AdmissionState; readonly refused: readonly AdmissionRefusal[] } => {
  const late = shedTooLate(state, settings, nowMs, random);
  if (late.state.queued <= settings.maxQueued) {
    return late;
  }
  const victim = findRequestToEvict(late.state) as AdmissionRequest;
  const without = removeRequests(late.state, new Set([victim.id]));
  const result = refuse(without, settings, victim, 'queueFull', nowMs, random);
  return { state: result.state, refused: [...late.refused, result.refusal] };
};

const queueOrRefuse = (
  state: AdmissionState,
  settings: AdmissionSettings,
  request: AdmissionRequest,
  nowMs: number,
  random: Random,
): AdmissionResult => {
  const { state: left, refused } = shedExcess(enqueue(state, request), settings, nowMs, random);
  const own = findRefusalOf(refused, request);
  if (own) {
    const { reason, retryAfterMs } = own;
    const displaced = refused.filter((refusal) => refusal !== own);
    return { state: left, decision: { kind: 'refuse', reason, retryAfterMs }, displaced };
  }
  const expectedWaitMs = getExpectedWaitMs(left, settings, request);
  return { state: left, decision: { kind: 'queue', expectedWaitMs }, displaced: refused };
};

/**
 * Runs the new request if it is first in line. Others may be queued because their teams are not
 * eligible for the free slot.
 */
const runIfNext = (
  state: AdmissionState,
  { maxRunning }: AdmissionSettings,
  { id }: AdmissionRequest,
): AdmissionState | undefined => {
  const taken = dequeue(state, maxRunning);
  return taken?.request.id === id ? taken.state : undefined;
};

/** Decides about a new request. */
export const chooseAdmission = (
  state: AdmissionState,
  settings: AdmissionSettings,
  request: AdmissionRequest,
  nowMs: number,
  random: Random,
): AdmissionResult => {
  const running = runIfNext(enqueue(state, request), settings, request);
  return running
    ? { state: running, decision: { kind: 'run' }, displaced: [] }
    : queueOrRefuse(state, settings, request, nowMs, random);
};

/** Dequeues the next request if a slot is free. Call repeatedly until `next` is absent. */
export const takeNext = (
  state: AdmissionState,
  settings: AdmissionSettings,
  nowMs: number,
  random: Random,
): AdmissionNext => {
  if (state.queued === 0) {
    return { state, refused: [] };
  }
  const { state: left, refused } = shedTooLate(state, settings, nowMs, random);
  const taken = dequeue(left, settings.maxRunning);
  return taken ? { state: taken.state, next: taken.request, refused } : { state: left, refused };
};

/** Releases the slot of a completed request that occupied it for `serviceMs`. */
export const recordCompletion = (
  state: AdmissionState,
  { team, cost }: Pick<AdmissionRequest, 'team' | 'cost'>,
  serviceMs: number,
): AdmissionState => {
  const sample = serviceMs / cost;
  const isFirst = state.serviceMs === 0;
  const mean = isFirst
    ? sample
    : state.serviceMs + SERVICE_TIME_WEIGHT * (sample - state.serviceMs);
  return { ...releaseSlot(state, team), serviceMs: mean };
};

/** Removes a queued request whose caller has disconnected. */
export const cancelQueued = (state: AdmissionState, id: string): AdmissionState =>
  removeRequests(state, new Set([id]));

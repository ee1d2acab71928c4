/** Admits, queues or refuses requests; whoever is refused gets the final answer at once. */
import type { Random } from '@snipehaven/common';
import { SERVICE_TIME_WEIGHT } from './constants.js';
import { dequeue, enqueue, releaseSlot, removeRequests } from './fairOrder.js';
import { getExpectedWaitMs } from './fairSchedule.js';
import { findDisplaceable, refuse, shedTooLate } from './shedRequests.js';
import type {
  AdmissionNext,
  AdmissionRefusal,
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

const findRefusal = (
  refusals: readonly AdmissionRefusal[],
  { id }: AdmissionRequest,
): AdmissionRefusal | undefined => refusals.find(({ request }) => request.id === id);

/** Gives up whatever has no time or no room, the new request perhaps among it. */
const shed = (
  state: AdmissionState,
  settings: AdmissionSettings,
  nowMs: number,
  random: Random,
): { readonly state: AdmissionState; readonly refused: readonly AdmissionRefusal[] } => {
  const late = shedTooLate(state, settings, nowMs, random);
  if (late.state.queued <= settings.maxQueued) {
    return late;
  }
  const victim = findDisplaceable(late.state) as AdmissionRequest;
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
  const { state: left, refused } = shed(enqueue(state, request), settings, nowMs, random);
  const own = findRefusal(refused, request);
  if (own) {
    const { reason, retryAfterMs } = own;
    const displaced = refused.filter((refusal) => refusal !== own);
    return { state: left, decision: { kind: 'refuse', reason, retryAfterMs }, displaced };
  }
  const expectedWaitMs = getExpectedWaitMs(left, settings, request);
  return { state: left, decision: { kind: 'queue', expectedWaitMs }, displaced: refused };
};

/** Runs the new request if it is its turn: the others in line may lack a right to the free slot. */
const runIfNext = (
  state: AdmissionState,
  { maxRunning }: AdmissionSettings,
  { id }: AdmissionRequest,
): AdmissionState | undefined => {
  const taken = dequeue(state, maxRunning);
  return taken?.request.id === id ? taken.state : undefined;
};

/** Decides on a request that has just come. */
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

/** The next request to run, if a slot is free. Call until `next` is left out. */
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

/** A request has ended and held its slot for `serviceMs`. */
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

/** A waiting request's caller has gone away. */
export const cancelQueued = (state: AdmissionState, id: string): AdmissionState =>
  removeRequests(state, new Set([id]));

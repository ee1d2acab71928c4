/** Admission before the choice: ours, first come first served, or none. */
import { asId } from '@snipehaven/common';
import type { Random, TeamId } from '@snipehaven/common';
import { chooseAdmission, createAdmission, recordCompletion, takeNext } from '@snipehaven/policy';
import type { AdmissionRefusal, AdmissionRequest, AdmissionSettings } from '@snipehaven/policy';
import { ADMISSION_MAX_QUEUED } from './constants.js';
import type { AdmissionRule, SimulatedRequest } from './types.js';

/** What admission tells its daemon. */
export interface AdmissionOutlet {
  readonly random: Random;
  getMaxRunning(): number;
  run(request: SimulatedRequest): void;
  refuse(request: SimulatedRequest, retryAfterMs?: number): void;
}

/** Admission of one simulated daemon. */
export interface AdmissionModel {
  offer(request: SimulatedRequest, nowMs: number): void;
  complete(request: SimulatedRequest, serviceMs: number, nowMs: number): void;
  recheck(nowMs: number): void;
}

const createFair = (outlet: AdmissionOutlet): AdmissionModel => {
  let state = createAdmission(0);
  const requests = new Map<string, SimulatedRequest>();
  const getSettings = (): AdmissionSettings => ({
    maxRunning: outlet.getMaxRunning(),
    maxQueued: ADMISSION_MAX_QUEUED,
  });
  const take = (id: string): SimulatedRequest => {
    const request = requests.get(id) as SimulatedRequest;
    requests.delete(id);
    return request;
  };
  const refuse = ({ request, retryAfterMs }: AdmissionRefusal): void =>
    outlet.refuse(take(request.id), retryAfterMs);
  const recheck = (nowMs: number): void => {
    for (;;) {
      const result = takeNext(state, getSettings(), nowMs, outlet.random);
      state = result.state;
      result.refused.forEach(refuse);
      if (result.next === undefined) {
        return;
      }
      outlet.run(take(result.next.id));
    }
  };
  const toAdmission = (request: SimulatedRequest, nowMs: number): AdmissionRequest => ({
    id: request.id,
    team: asId<TeamId>(request.team),
    weight: request.weight,
    priority: 5,
    cost: 1,
    arrivedAtMs: nowMs,
    deadlineAtMs: request.deadlineAtMs,
  });
  return {
    offer(request, nowMs) {
      requests.set(request.id, request);
      const asked = toAdmission(request, nowMs);
      const result = chooseAdmission(state, getSettings(), asked, nowMs, outlet.random);
      state = result.state;
      result.displaced.forEach(refuse);
      if (result.decision.kind === 'run') {
        outlet.run(take(request.id));
      } else if (result.decision.kind === 'refuse') {
        outlet.refuse(take(request.id), result.decision.retryAfterMs);
      }
    },
    complete(request, serviceMs, nowMs) {
      state = recordCompletion(state, toAdmission(request, nowMs), Math.max(1, serviceMs));
      recheck(nowMs);
    },
    recheck,
  };
};

/** One bounded queue for all teams; nobody looks at deadlines. */
const createFifo = (outlet: AdmissionOutlet): AdmissionModel => {
  const queue: SimulatedRequest[] = [];
  let running = 0;
  const recheck = (): void => {
    while (queue.length > 0 && running < outlet.getMaxRunning()) {
      running += 1;
      outlet.run(queue.shift() as SimulatedRequest);
    }
  };
  return {
    offer(request) {
      if (queue.length >= ADMISSION_MAX_QUEUED) {
        outlet.refuse(request);
        return;
      }
      queue.push(request);
      recheck();
    },
    complete() {
      running -= 1;
      recheck();
    },
    recheck,
  };
};

const createNone = (outlet: AdmissionOutlet): AdmissionModel => ({
  offer: (request) => outlet.run(request),
  complete: () => undefined,
  recheck: () => undefined,
});

const ADMISSION_MODELS: Readonly<
  Record<AdmissionRule, (outlet: AdmissionOutlet) => AdmissionModel>
> = {
  fair: createFair,
  fifo: createFifo,
  none: createNone,
};

/** Admission by its rule's name. */
export const createAdmissionModel = (
  rule: AdmissionRule,
  outlet: AdmissionOutlet,
): AdmissionModel => ADMISSION_MODELS[rule](outlet);

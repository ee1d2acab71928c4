/** Admission control: fairness between teams, bounds, and immediate refusals. */
import { asId, createRandom } from '@snipehaven/common';
import type { TeamId } from '@snipehaven/common';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  chooseAdmission,
  createAdmission,
  createTokenBucket,
  getRetryAfterMs,
  recordCompletion,
  settleTokens,
  takeNext,
  takeTokens,
} from './index.js';
import type { AdmissionRequest, AdmissionState } from './types.js';

const FC_SEED = 20_262;
const SETTINGS = { maxRunning: 4, maxQueued: 20 };

const createRequest = (id: number, team: string, more: Partial<AdmissionRequest> = {}) => ({
  id: `${id}`,
  team: asId<TeamId>(team),
  weight: 1,
  priority: 5,
  cost: 1,
  arrivedAtMs: 0,
  deadlineAtMs: 1e9,
  ...more,
});

const offerAll = (requests: readonly AdmissionRequest[], random = createRandom(1)) => {
  let state: AdmissionState = createAdmission(0);
  const refusedIds: string[] = [];
  requests.forEach((request) => {
    const result = chooseAdmission(state, SETTINGS, request, 0, random);
    state = result.state;
    refusedIds.push(...result.displaced.map((refusal) => refusal.request.id));
    if (result.decision.kind === 'refuse') {
      refusedIds.push(request.id);
    }
  });
  return { state, refusedIds };
};

test('backlogged teams get slots in proportion to their weights, within one request each', () => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 1, max: 4 }), { minLength: 2, maxLength: 4 }),
      (weights) => {
        const settings = { maxRunning: 1, maxQueued: 10_000 };
        let state = createAdmission(0);
        for (let id = 0; id < weights.length * 60; id += 1) {
          const index = id % weights.length;
          const request = createRequest(id, `team-${index}`, { weight: weights[index] as number });
          state = chooseAdmission(state, settings, request, 0, createRandom(1)).state;
        }
        const served = weights.map(() => 0);
        let running: Pick<AdmissionRequest, 'team' | 'cost'> = createRequest(0, 'team-0');
        for (let turn = 0; turn < 40; turn += 1) {
          state = { ...recordCompletion(state, running, 1), serviceMs: 0 };
          const taken = takeNext(state, settings, 0, createRandom(1));
          state = taken.state;
          running = taken.next as AdmissionRequest;
          served[Number(running.team.slice(5))]! += 1;
        }
        const shares = served.map((count, index) => count / (weights[index] as number));
        const steps = weights.map((weight) => 1 / weight);
        assert.ok(Math.max(...shares) - Math.min(...shares) <= 2 * Math.max(...steps) + 1e-9);
      },
    ),
    { seed: FC_SEED },
  );
});

test('a full queue sheds the lowest-priority request of the team with the longest queue', () => {
  const flood = Array.from({ length: 24 }, (_, id) =>
    createRequest(id, 'large', { priority: id === 10 ? 1 : 5 }),
  );
  const { state, refusedIds } = offerAll([...flood, createRequest(100, 'small')]);
  assert.equal(state.queued, SETTINGS.maxQueued);
  assert.ok(refusedIds.includes('10'));
  assert.not.ok(refusedIds.includes('100'));
});

test('the last free slots are reserved for smaller teams', () => {
  const settings = { maxRunning: 16, maxQueued: 20 };
  const random = createRandom(1);
  let state = createAdmission(0);
  const offer = (id: number, team: string) => {
    const result = chooseAdmission(state, settings, createRequest(id, team), 0, random);
    state = result.state;
    return result.decision.kind;
  };
  offer(0, 'small');
  for (let id = 1; id < 20; id += 1) {
    offer(id, 'large');
  }
  assert.is(state.running, 14);
  assert.is(offer(100, 'small'), 'run');
});

// Guards against callers that wait in the queue and are refused only at their deadline. This
// happens when the queue drains more slowly than at admission, or could never be drained in time,
// and the expected wait is not checked before the deadline.
test('a request that cannot be served in time is refused at once', () => {
  const random = createRandom(1);
  const { state } = offerAll(Array.from({ length: 10 }, (_, id) => createRequest(id, 'team')));
  const slow = { ...state, serviceMs: 4_000 };
  const late = createRequest(50, 'team', { deadlineAtMs: 5_000 });
  const result = chooseAdmission(slow, SETTINGS, late, 0, random);
  assert.is(result.decision.kind, 'refuse');
  const hopeless = {
    ...offerAll(
      [...Array(10).keys()].map((id) => createRequest(id, 'team', { deadlineAtMs: 20_000 })),
    ).state,
    serviceMs: 4_000,
  };
  const next = takeNext(hopeless, SETTINGS, 1_000, random);
  assert.ok(next.refused.length > 0);
  assert.is(next.state.queued + next.refused.length + (next.next ? 1 : 0), hopeless.queued);
});

test('running and queued requests stay within their limits and none is lost', () => {
  fc.assert(
    fc.property(fc.array(fc.tuple(fc.nat(3), fc.nat(9)), { maxLength: 60 }), (offers) => {
      const requests = offers.map(([team, priority], id) =>
        createRequest(id, `team-${team}`, { priority }),
      );
      const { state, refusedIds } = offerAll(requests);
      assert.ok(state.running <= SETTINGS.maxRunning && state.queued <= SETTINGS.maxQueued);
      assert.is(state.running + state.queued + refusedIds.length, requests.length);
    }),
    { seed: FC_SEED },
  );
});

test('retry delays are spread in proportion to the number of refused callers', () => {
  const random = createRandom(7);
  const draw = () =>
    getRetryAfterMs({ queued: 20, drainPerSecond: 10, recentRefusals: 100, random });
  const times = Array.from({ length: 200 }, draw);
  assert.ok(Math.min(...times) >= 2_000 && Math.max(...times) <= 22_000);
  assert.ok(Math.max(...times) - Math.min(...times) > 15_000);
});

test('a token bucket never exceeds its burst and rate, even after the limit was lowered', () => {
  const limit = { ratePerSecond: 10, burst: 5 };
  let state = createTokenBucket(limit, 0);
  let taken = 0;
  for (let nowMs = 0; nowMs <= 1_000; nowMs += 10) {
    const decision = takeTokens(state, limit, nowMs);
    state = decision.state;
    taken += decision.isAllowed ? 1 : 0;
  }
  assert.ok(taken <= 15);
  assert.is(
    takeTokens(createTokenBucket(limit, 0), { ratePerSecond: 1, burst: 2 }, 0, 3).isAllowed,
    false,
  );
  assert.is(takeTokens(settleTokens(createTokenBucket(limit, 0), 1, 7), limit, 0).waitMs, 200);
});

test.run();

/** Placement by expected wait, cached prompt parts, data centres and failing upstreams. */
import { createRandom } from '@snipehaven/common';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  choosePlacement,
  type PlacementCandidate,
  type PlacementInput,
} from './choosePlacement.js';
import { getLeaveMs, listPartition } from './modelPartitions.js';
import { ModelDemand } from './modelDemand.js';

const candidate = (id: string, more: Partial<PlacementCandidate> = {}): PlacementCandidate => ({
  id,
  dataCentre: 'a',
  remotePenalty: 0,
  backlog: 0,
  requests: 0,
  occupancy: 0,
  failureShare: 0,
  isSuspect: false,
  ...more,
});

const INPUT: PlacementInput = {
  candidates: [
    candidate('one'),
    candidate('two'),
    candidate('far', { dataCentre: 'b', remotePenalty: 5_000 }),
  ],
  sharedWork: 5_000,
  ownWork: 6_000,
  leavePenalty: 0,
  random: 0.3,
};

const place = (more: Partial<PlacementInput>) => choosePlacement({ ...INPUT, ...more });

test('requests of one subject go to one local upstream, which caches their shared part', () => {
  const ids = [0, 0.3, 0.6, 0.9].map((random) => place({ affinityKey: 'subject', random })?.id);
  assert.is(new Set(ids).size, 1);
  assert.ok(place({ affinityKey: 'subject' })?.isOwner);
});

test('the owner is not chosen when its queue takes longer than prefilling the part elsewhere', () => {
  const owner = place({ affinityKey: 'subject' })?.id;
  const busy = INPUT.candidates.map((one) => (one.id === owner ? { ...one, backlog: 5_600 } : one));
  const chosen = place({ affinityKey: 'subject', candidates: busy });
  assert.is.not(chosen?.id, owner);
  assert.not(chosen?.isOwner);
});

test('another data centre is chosen only when the local wait exceeds its penalty', () => {
  const local = (backlog: number) => [
    candidate('one', { backlog }),
    candidate('far', { dataCentre: 'b', remotePenalty: 5_000 }),
  ];
  assert.is(place({ candidates: local(4_000) })?.id, 'one');
  assert.is(place({ candidates: local(6_000) })?.id, 'far');
});

// Guards against prefilling the largest model's prompts three times. This happens when requests of
// one subject arrive in three data centres and each has its own owner of the shared parts, although
// prefill takes longer than the network path.
test('a part has one owner over all data centres if prefill takes longer than the network path', () => {
  const from = (dataCentre: string, pathPenalty: number) => {
    const candidates = INPUT.candidates.map((one) => ({
      ...one,
      remotePenalty: one.dataCentre === dataCentre ? 0 : pathPenalty,
    }));
    return place({ affinityKey: 'subject', candidates })?.id;
  };
  assert.is(from('a', 400), from('b', 400));
  assert.is.not(from('a', 6_000), from('b', 6_000));
});

const EIGHT = ['1', '2', '3', '4', '5', '6', '7', '8'].map((id) => candidate(id));

// Guards against late first answers everywhere while a few long prompts are prefilled. This happens
// when uncertain answers are asked again of the largest model on all upstreams, because its prompts
// block whatever runs beside them.
test('while upstreams are busy a model stays in its partition unless its queues are much longer', () => {
  const lane = { from: 0, to: 0.5 };
  const ids = EIGHT.map(({ id }) => id);
  const inLane = listPartition(ids, lane);
  assert.is(inLane.size, 4);
  const load = (backlog: number) =>
    EIGHT.map((one) => (inLane.has(one.id) ? { ...one, backlog } : one));
  const chosen = (backlog: number, leavePenalty: number) =>
    place({ candidates: load(backlog), lane, leavePenalty, sharedWork: 0 })?.id ?? '';
  assert.ok(inLane.has(chosen(4_000, 5_000)));
  assert.not(inLane.has(chosen(9_000, 5_000)));
  assert.not(inLane.has(chosen(4_000, 0)), 'no penalty while upstreams are idle');
});

test('a partition is never empty, and without one all upstreams are included', () => {
  assert.is(listPartition(['a', 'b'], { from: 0.9, to: 0.95 }).size, 1);
  assert.is(listPartition(['a'], { from: 0, to: 0.1 }).size, 1);
  assert.is(listPartition([], { from: 0, to: 0.1 }).size, 0);
  assert.is(listPartition(['a', 'b', 'c'], undefined).size, 3);
  assert.is(getLeaveMs(0), 0);
});

test('partitions follow the placed work, starting with the largest model', () => {
  const demand = new ModelDemand();
  assert.is(demand.findPartition(['small', 'large'], 'small'), undefined);
  for (let index = 0; index < 100; index += 1) {
    demand.recordWork('small', 100);
    demand.recordWork('large', 300);
  }
  const small = demand.findPartition(['small', 'middle', 'large'], 'small');
  const large = demand.findPartition(['small', 'middle', 'large'], 'large');
  assert.is(large?.from, 0);
  assert.is(large?.to, small?.from);
  assert.is(small?.to, 1);
  // 300 of 300 + 2.5 x 100.
  assert.ok(Math.abs((large?.to ?? 0) - 0.545) < 0.03);
  assert.is(demand.findPartition(['small', 'middle', 'large'], 'middle'), undefined);
});

// Guards against failures of half of a service's requests although other upstreams could serve
// them. An upstream that rejects four in ten requests at once has no queue, so placement by load
// alone sends it the most.
test('an upstream that fails often is avoided although it has no queue', () => {
  const candidates = [
    candidate('failing', { failureShare: 0.4 }),
    candidate('busy', { backlog: 20_000 }),
  ];
  assert.is(place({ candidates })?.id, 'busy');
});

// Guards against answers that pause for more than a second. This happens when a prompt of 50,000
// tokens is prefilled at an upstream that is decoding ten answers, each of whose tokens waits for a
// part of it, and placement only considers the wait of the long prompt.
test('a long prompt is placed where few answers run, a short one where the queue is short', () => {
  const candidates = [
    candidate('writing', { requests: 10 }),
    candidate('waiting', { backlog: 9_000, requests: 1 }),
  ];
  assert.is(place({ candidates, ownWork: 20_000, sharedWork: 0 })?.id, 'waiting');
  assert.is(place({ candidates, ownWork: 800, sharedWork: 0 })?.id, 'writing');
});

test('a suspect upstream is chosen only if there is no other', () => {
  const suspect = candidate('one', { isSuspect: true });
  assert.is(place({ candidates: [suspect, candidate('two', { backlog: 90_000 })] })?.id, 'two');
  assert.is(place({ candidates: [suspect] })?.id, 'one');
  assert.is(place({ candidates: [] }), undefined);
});

/**
 * Simulates prompts whose lengths differ by a factor of up to 80, arriving at six upstreams that
 * prefill 20 tokens per millisecond. Returns the mean and the longest wait.
 */
const simulateLoad = (
  countsTokens: boolean,
): { readonly meanMs: number; readonly maxMs: number } => {
  const random = createRandom(7);
  const ids = ['a1', 'a2', 'a3', 'a4', 'a5', 'a6'];
  const freeAtMs = new Map(ids.map((id) => [id, 0]));
  const counts = new Map(ids.map((id) => [id, [] as number[]]));
  const waits: number[] = [];
  for (let nowMs = 0; nowMs < 60_000; nowMs += 120) {
    const tokens = Math.round(650 * Math.exp(random.next() * 4.4));
    const candidates = ids.map((id) => {
      const queuedMs = Math.max(0, (freeAtMs.get(id) ?? 0) - nowMs);
      const queued = (counts.get(id) ?? []).filter((endMs) => endMs > nowMs).length;
      return candidate(id, { backlog: countsTokens ? queuedMs * 20 : queued });
    });
    const id =
      choosePlacement({
        candidates,
        sharedWork: 0,
        ownWork: countsTokens ? tokens : 1,
        leavePenalty: 0,
        random: random.next(),
      })?.id ?? '';
    const startMs = Math.max(nowMs, freeAtMs.get(id) ?? 0);
    waits.push(startMs - nowMs);
    freeAtMs.set(id, startMs + tokens / 20);
    counts.get(id)?.push(startMs + tokens / 20);
  }
  const sum = waits.reduce((total, wait) => total + wait, 0);
  return { meanMs: sum / waits.length, maxMs: Math.max(...waits) };
};

// The mean wait is 135 ms when counting requests and 92 ms when counting tokens; the longest is
// 2,420 ms and 1,402 ms.
test('counting tokens instead of requests shortens the wait with long prompts', () => {
  const byRequests = simulateLoad(false);
  const byTokens = simulateLoad(true);
  assert.ok(byTokens.meanMs < byRequests.meanMs * 0.8, `${byTokens.meanMs} ${byRequests.meanMs}`);
  assert.ok(byTokens.maxMs < byRequests.maxMs, `${byTokens.maxMs} ${byRequests.maxMs}`);
});

test.run();

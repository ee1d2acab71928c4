import { install } from '@sinonjs/fake-timers';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { answer, ClaimFixture } from './claimFixture.js';
import type { Claim, ClaimOutcome } from './types.js';

const claims = suite<{ fixture: ClaimFixture }>('TableClaimStore');

claims.before.each((context) => {
  context.fixture = new ClaimFixture(install({ now: 1_000_000_000_000 }));
});
claims.after.each(({ fixture }) => fixture.close());

const HOUR_MS = 3_600_000;
const DAY_MS = 24 * HOUR_MS;

const getClaim = (outcome: ClaimOutcome): Claim => {
  assert.is(outcome.kind, 'claimed');
  return (outcome as Extract<ClaimOutcome, { kind: 'claimed' }>).claim;
};

claims(
  'finishes at one daemon and answers a retry at another, until the stated time',
  async ({ fixture }) => {
    const [a, b] = [fixture.createStore('a'), fixture.createStore('b')];
    const claim = getClaim(await fixture.claim(a));
    assert.is(await fixture.claimKind(b), 'inProgress');
    await fixture.settle(a.finish(claim, answer));
    assert.equal(await fixture.claim(b), { kind: 'finished', answer });
    assert.is(await fixture.claimKind(b, { bodyHash: 'other' }), 'differentBody');
    assert.is(await fixture.claimKind(b, { teamUid: 't2', bodyHash: 'other' }), 'claimed');
    await fixture.settle(b.cleanUp(Date.now()));
    assert.is(await fixture.claimKind(b), 'finished');
    await fixture.settle(b.cleanUp(Date.now() + DAY_MS));
    assert.is(fixture.table.rows.has(claim.rowKey), false);
  },
);

claims(
  'a released key may run again, under a higher fence and with another body',
  async ({ fixture }) => {
    const [a, b] = [fixture.createStore('a'), fixture.createStore('b')];
    const first = getClaim(await fixture.claim(a));
    await fixture.settle(a.release(first));
    const second = getClaim(await fixture.claim(b, { bodyHash: 'other' }));
    assert.ok(second.fence > first.fence);
    await fixture.settle(b.markUnknown(second));
    assert.is(await fixture.claimKind(a, { bodyHash: 'other' }), 'outcomeUnknown');
  },
);

claims('a reply lost after the claim was committed', async ({ fixture }) => {
  // Symptom: the caller is refused though its key is taken, and every retry hears `in progress`.
  // Sequence: the claim commits; the reply is lost.
  // Cause: the daemon took its own row for another's.
  fixture.table.faults.push('replyLost');
  const claim = getClaim(await fixture.claim(fixture.createStore('a')));
  assert.is(fixture.table.rows.get(claim.rowKey)?.version, claim.fence);
});

claims('a write that commits after its request was refused', async ({ fixture }) => {
  // Symptom: a key that nobody runs is `in progress` for ever.
  // Sequence: the claim goes out, the table is silent past the request's patience, the request is
  // refused `not run`; seconds later the claim commits.
  // Cause: a read-back that finds nothing proves nothing about a write still on its way.
  const [a, b] = [fixture.createStore('a'), fixture.createStore('b')];
  fixture.table.setOutage('appliedLate');
  const outcome = a.claim(fixture.request());
  assert.is(await fixture.settle(outcome, 1_600), 'claims_unavailable');
  fixture.table.setOutage(undefined);
  await fixture.clock.tickAsync(20_000);
  assert.is(a.pendingCount, 0);
  const claim = getClaim(await fixture.claim(b));
  await fixture.clock.tickAsync(20_000);
  assert.equal((fixture.table.rows.get(claim.rowKey)?.value as Claim).token, claim.token);
});

claims('a claim over a released row commits after its request was refused', async ({ fixture }) => {
  // Symptom: as above, for a key that had been claimed and released before.
  // Sequence: the claim's second write, over the released row, comes late.
  // Cause: the release was written over an absent row, which the late write does not ask for.
  const [a, b] = [fixture.createStore('a'), fixture.createStore('b')];
  await fixture.settle(a.release(getClaim(await fixture.claim(a))));
  const refusals = Array.from({ length: 30 }, () => 'refused' as const);
  fixture.table.faults.push('none', 'appliedLate', ...refusals);
  assert.is(await fixture.settle(b.claim(fixture.request()), 1_600), 'claims_unavailable');
  fixture.table.faults.splice(0);
  await fixture.clock.tickAsync(20_000);
  assert.is(await fixture.claimKind(a), 'claimed');
});

claims('a reply that comes after the request gave up', async ({ fixture }) => {
  // Symptom: a key that nobody runs is `in progress` while its owner lives.
  // Sequence: the table takes 2.5 s; the request is refused after 1.5 s; the claim commits.
  // Cause: the refused request's claim was kept.
  const [a, b] = [fixture.createStore('a'), fixture.createStore('b')];
  fixture.table.setLatency(2_500);
  assert.is(await fixture.settle(a.claim(fixture.request()), 1_600), 'claims_unavailable');
  fixture.table.setLatency(2);
  await fixture.clock.tickAsync(10_000);
  assert.is(await fixture.claimKind(b), 'claimed');
});

claims(
  'an owner that dies before it could release what it never dispatched',
  async ({ fixture }) => {
    // Symptom: a retry might run a second time, or hang.
    // Sequence: the claim commits, its reply is lost, the request is refused, the daemon dies.
    // Cause: only the dead owner knew that nothing was dispatched; the honest answer is `unknown`.
    const [a, b] = [fixture.createStore('a'), fixture.createStore('b')];
    fixture.table.setOutage('replyLost');
    assert.is(await fixture.settle(a.claim(fixture.request()), 2_000), 'claims_unavailable');
    a.stop();
    fixture.table.rows.forEach((row) =>
      assert.is((row.value as { state: string }).state, 'claimed'),
    );
    fixture.table.setOutage(undefined);
    assert.is(await fixture.claimKind(b), 'inProgress');
    fixture.dead.add('a');
    assert.is(await fixture.claimKind(b), 'outcomeUnknown');
  },
);

claims('the owner is paused past its deadline and comes back', async ({ fixture }) => {
  // Symptom: the request runs twice, or its answer is lost.
  // Sequence: A claims and stops; B holds A for dead and gets a retry; A wakes, finishes.
  // Cause: a claim with a lease would have lapsed and been taken over by B.
  const [a, b] = [fixture.createStore('a'), fixture.createStore('b')];
  const claim = getClaim(await fixture.claim(a));
  await fixture.clock.tickAsync(HOUR_MS);
  assert.is(await fixture.claimKind(b), 'outcomeUnknown');
  await fixture.settle(b.cleanUp(Date.now() + 30 * DAY_MS));
  fixture.dead.add('a');
  await fixture.settle(b.cleanUp(Date.now()));
  assert.is(await fixture.claimKind(b), 'outcomeUnknown');
  await fixture.settle(a.finish(claim, answer));
  assert.is(await fixture.claimKind(b), 'finished');
});

claims(
  'the same key at two daemons, and twice at one, at the same instant',
  async ({ fixture }) => {
    // Symptom: a filing is made twice.
    // Sequence: the caller's retry overtakes its first try at another daemon.
    // Cause: both checked that the key is free before either wrote.
    const [a, b] = [fixture.createStore('a'), fixture.createStore('b')];
    const tries = [a, b, a, b].map((store) => store.claim(fixture.request()));
    const outcomes = (await fixture.settle(Promise.all(tries))) as readonly ClaimOutcome[];
    const kinds = outcomes.map(({ kind }) => kind).sort();
    assert.equal(kinds, ['claimed', 'inProgress', 'inProgress', 'inProgress']);
  },
);

claims('the same key in two data centres cut off from each other', async ({ fixture }) => {
  // Symptom: each side runs the request.
  // Sequence: the cut leaves the table reachable from one side only; the caller tries both.
  // Cause: a side that can't ask the table took the key for free.
  const cut = fixture.createStore('a');
  fixture.table.setOutage('refused');
  assert.is(await fixture.claimKind(cut), 'claims_unavailable');
  fixture.table.setOutage(undefined);
  assert.is(await fixture.claimKind(fixture.createStore('b')), 'claimed');
  assert.is(await fixture.claimKind(cut), 'inProgress');
});

claims('the table is down for an hour', async ({ fixture }) => {
  // Symptom: answers of finished requests are lost, or new ones run without a claim.
  // Sequence: a claim is held when the table goes away; its request finishes; an hour passes.
  // Cause: the outcome was written once only, or the outage was taken for success.
  const [a, b] = [fixture.createStore('a'), fixture.createStore('b')];
  const claim = getClaim(await fixture.claim(a));
  fixture.table.setOutage('refused');
  const finishing = a.finish(claim, answer);
  await fixture.clock.tickAsync(HOUR_MS);
  assert.is(await fixture.claimKind(a), 'finished');
  assert.is(await fixture.claimKind(a, { bodyHash: 'other' }), 'differentBody');
  assert.is(await fixture.claimKind(b), 'claims_unavailable');
  assert.is(await fixture.claimKind(a, { key: 'k2' }), 'claims_unavailable');
  fixture.table.setOutage(undefined);
  assert.is(await fixture.settle(finishing, 10_000), undefined);
  assert.is(await fixture.claimKind(b), 'finished');
});

claims('an answer that can never be written ends as unknown', async ({ fixture }) => {
  // Symptom: memory fills with answers during a long outage.
  // Sequence: the table stays away past `maxUnwrittenAnswerMs`.
  // Cause: answers waited without a bound.
  const [a, b] = [fixture.createStore('a'), fixture.createStore('b')];
  const claim = getClaim(await fixture.claim(a));
  fixture.table.setOutage('refused');
  assert.is(await fixture.settle(a.finish(claim, answer), 7 * HOUR_MS), 'answer_not_kept');
  assert.is(await fixture.claimKind(a), 'outcomeUnknown');
  fixture.table.setOutage(undefined);
  await fixture.clock.tickAsync(10_000);
  assert.is(await fixture.claimKind(b), 'outcomeUnknown');
  assert.is(a.pendingCount, 0);
});

claims(
  'over the rate limit, claims wait their turn or are refused at once',
  async ({ fixture }) => {
    // Symptom: claims of the rate-limited batch are lost, or hammer the table.
    // Sequence: 429 with Retry-After, shorter and longer than the requests' patience.
    // Cause: a refusal for the rate was taken for an outage, or retried without waiting.
    const store = fixture.createStore('a');
    fixture.table.faults.push('rateLimited');
    const keys = Array.from({ length: 20 }, (_item, index) => `k${index}`);
    const tries = keys.map((key) => store.claim(fixture.request({ key })));
    const outcomes = (await fixture.settle(Promise.all(tries))) as readonly ClaimOutcome[];
    assert.ok(outcomes.every(({ kind }) => kind === 'claimed'));
    fixture.table.faults.push('rateLimited');
    const hurried = fixture.request({ key: 'late', deadlineAtMs: Date.now() + 100 });
    assert.is(await fixture.settle(store.claim(hurried), 50), 'claims_unavailable');
    assert.is(store.pendingCount, keys.length);
  },
);

claims('bounds: queue, pending claims and a row of another form', async ({ fixture }) => {
  const store = fixture.createStore('a', { settings: { maxPendingClaims: 1 } });
  const { rowKey } = getClaim(await fixture.claim(store));
  assert.is(await fixture.claimKind(store, { key: 'k2' }), 'claims_unavailable');
  fixture.table.rows.set(rowKey, { key: rowKey, value: { odd: true }, version: 9 });
  assert.is(await fixture.claimKind(fixture.createStore('b')), 'outcomeUnknown');
});

claims('large answers stand in the object store and go with their row', async ({ fixture }) => {
  const objects = new Map<string, Uint8Array>();
  const objectStore = {
    put: async (name: string, bytes: Uint8Array) => {
      objects.set(name, bytes);
    },
    get: async (name: string) => objects.get(name),
    delete: async (name: string) => {
      objects.delete(name);
    },
    list: async () => [...objects.keys()],
  };
  const options = { objectStore, settings: { maxInlineAnswerBytes: 10 } };
  const [a, b] = [fixture.createStore('a', options), fixture.createStore('b', options)];
  await fixture.settle(a.finish(getClaim(await fixture.claim(a)), answer));
  assert.is(objects.size, 1);
  assert.equal(await fixture.claim(b), { kind: 'finished', answer });
  await fixture.settle(b.cleanUp(Date.now() + DAY_MS));
  assert.is(objects.size + fixture.table.rows.size, 0);
});

claims('outcomes reported twice or of a foreign claim violate the promise', async ({ fixture }) => {
  const store = fixture.createStore('a');
  const claim = getClaim(await fixture.claim(store));
  await fixture.settle(store.release(claim));
  assert.is(await fixture.settle(store.release(claim)), 'invariant_violation');
});

claims.run();

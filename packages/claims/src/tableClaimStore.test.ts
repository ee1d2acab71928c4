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
  'returns the stored answer to a retry at another daemon until it expires',
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

claims('recognises its own claim after the reply to the commit was lost', async ({ fixture }) => {
  // The claim commits but the reply is lost. If the daemon took its own row for another daemon's, the
  // caller would be refused and every retry would get `inProgress`.
  fixture.table.faults.push('replyLost');
  const claim = getClaim(await fixture.claim(fixture.createStore('a')));
  assert.is(fixture.table.rows.get(claim.rowKey)?.version, claim.fence);
});

claims('releases a claim that commits after its request was refused', async ({ fixture }) => {
  // The table does not reply within the request's wait, the request is refused as not run, and the
  // claim commits seconds later. A read that finds no row says nothing about a write in flight; relying
  // on it would leave the key `inProgress` for ever.
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

claims('releases a late claim that overwrote a released row', async ({ fixture }) => {
  // As above, for a key that was claimed and released before: the claim's second write, over the
  // released row, commits late. A release conditional on an absent row would not prevent that write.
  const [a, b] = [fixture.createStore('a'), fixture.createStore('b')];
  await fixture.settle(a.release(getClaim(await fixture.claim(a))));
  const refusals = Array.from({ length: 30 }, () => 'refused' as const);
  fixture.table.faults.push('none', 'appliedLate', ...refusals);
  assert.is(await fixture.settle(b.claim(fixture.request()), 1_600), 'claims_unavailable');
  fixture.table.faults.splice(0);
  await fixture.clock.tickAsync(20_000);
  assert.is(await fixture.claimKind(a), 'claimed');
});

claims('releases a claim whose reply arrives after the request timed out', async ({ fixture }) => {
  // The table takes 2.5 s, the request is refused after 1.5 s, and the claim commits. If it were not
  // released, the key would stay `inProgress` while its owner is alive.
  const [a, b] = [fixture.createStore('a'), fixture.createStore('b')];
  fixture.table.setLatency(2_500);
  assert.is(await fixture.settle(a.claim(fixture.request()), 1_600), 'claims_unavailable');
  fixture.table.setLatency(2);
  await fixture.clock.tickAsync(10_000);
  assert.is(await fixture.claimKind(b), 'claimed');
});

claims(
  'reports an unknown outcome if the owner dies before releasing an undispatched claim',
  async ({ fixture }) => {
    // The claim commits, its reply is lost, the request is refused and the daemon dies. Only the dead
    // owner knew that nothing was dispatched, so a retry must neither run nor hang.
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

claims('keeps the claim of an owner that is paused past its deadline', async ({ fixture }) => {
  // A claims and is paused; B considers A dead and gets a retry; A resumes and finishes. If claims
  // expired like leases, B would take over, and the request would run twice or lose its answer.
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
  'grants a key once when two daemons claim it twice each at the same time',
  async ({ fixture }) => {
    // A caller's retry overtakes its first attempt at another daemon. If both checked that the key is
    // free before either wrote, the request would run twice.
    const [a, b] = [fixture.createStore('a'), fixture.createStore('b')];
    const tries = [a, b, a, b].map((store) => store.claim(fixture.request()));
    const outcomes = (await fixture.settle(Promise.all(tries))) as readonly ClaimOutcome[];
    const kinds = outcomes.map(({ kind }) => kind).sort();
    assert.equal(kinds, ['claimed', 'inProgress', 'inProgress', 'inProgress']);
  },
);

claims('grants a key only where the table is reachable during a partition', async ({ fixture }) => {
  // A network partition leaves the table reachable from one data centre only, and the caller tries
  // both. If the side without the table treated the key as free, each side would run the request.
  const cut = fixture.createStore('a');
  fixture.table.setOutage('refused');
  assert.is(await fixture.claimKind(cut), 'claims_unavailable');
  fixture.table.setOutage(undefined);
  assert.is(await fixture.claimKind(fixture.createStore('b')), 'claimed');
  assert.is(await fixture.claimKind(cut), 'inProgress');
});

claims(
  'keeps answers and refuses new claims while the table is down for an hour',
  async ({ fixture }) => {
    // The table fails while a claim is held, and the request finishes during the outage. Without retries
    // its answer would be lost; if the outage counted as success, requests would run without a claim.
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
  },
);

claims('marks the outcome unknown if the answer cannot be written in time', async ({ fixture }) => {
  // The table is unavailable for longer than `maxUnwrittenAnswerMs`. Without that limit, unwritten
  // answers would fill the memory during a long outage.
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
  'queues rate-limited claims, or refuses them at once if they cannot be sent in time',
  async ({ fixture }) => {
    // The table answers 429 with a Retry-After shorter or longer than the requests may wait. Treated as
    // an outage, the batch's claims would be lost; retried without delay, they would flood the table.
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

claims(
  'limits pending claims and treats a malformed row as an unknown outcome',
  async ({ fixture }) => {
    const store = fixture.createStore('a', { settings: { maxPendingClaims: 1 } });
    const { rowKey } = getClaim(await fixture.claim(store));
    assert.is(await fixture.claimKind(store, { key: 'k2' }), 'claims_unavailable');
    fixture.table.rows.set(rowKey, { key: rowKey, value: { odd: true }, version: 9 });
    assert.is(await fixture.claimKind(fixture.createStore('b')), 'outcomeUnknown');
  },
);

claims(
  'stores large answers in the object store and deletes them with their row',
  async ({ fixture }) => {
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
  },
);

claims('reporting an outcome twice violates the at-most-once invariant', async ({ fixture }) => {
  const store = fixture.createStore('a');
  const claim = getClaim(await fixture.claim(store));
  await fixture.settle(store.release(claim));
  assert.is(await fixture.settle(store.release(claim)), 'invariant_violation');
});

claims.run();

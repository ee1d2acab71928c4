import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { callApi, createModel, putModel } from './testSupport/callApi.js';
import { withFakeApi } from './testSupport/withFakeApi.js';

const MODEL_PATH = '/api/resources/Model/small';

test(
  'creates, reads, lists, changes and deletes a resource',
  withFakeApi(async (api) => {
    const created = await putModel(api, 'first');
    assert.is(created.status, 201);
    assert.is(created.body.action, 'created');
    const changed = await putModel(api, 'second', 1);
    assert.is(changed.status, 200);
    assert.equal(changed.body.differences, [
      { path: 'spec.description', present: 'first', sent: 'second' },
    ]);
    const read = await callApi(api, MODEL_PATH);
    assert.is(read.body.spec.description, 'second');
    assert.is(read.body.metadata.generation, 2);
    const list = await callApi(api, '/api/resources/Model');
    assert.is(list.body.revision, 2);
    assert.is(list.body.resources.length, 1);
    assert.is((await callApi(api, MODEL_PATH, { method: 'DELETE' })).body.revision, 3);
    assert.is((await callApi(api, MODEL_PATH)).status, 404);
  }),
);

test(
  'a dry run says what would change and writes nothing',
  withFakeApi(async (api) => {
    await putModel(api, 'first');
    const body = createModel('small', 'second');
    const reply = await callApi(api, `${MODEL_PATH}?dryRun=true`, { method: 'PUT', body });
    assert.is(reply.status, 200);
    assert.is(reply.body.isDryRun, true);
    assert.is(reply.body.differences.length, 1);
    assert.is(api.state.configuration.writes, 1);
    assert.is((await callApi(api, MODEL_PATH)).body.spec.description, 'first');
  }),
);

// Symptom: an operator's change is gone, and nobody was told.
// Sequence: two operators read version 1; both write; the later write replaces the earlier one.
// Cause: a write that does not say which version it was made from.
test(
  'of two racing operators one gets 409 with the present resource and the difference',
  withFakeApi(async (api) => {
    await putModel(api, 'first');
    const replies = await Promise.all([putModel(api, 'mine', 1), putModel(api, 'yours', 1)]);
    assert.equal(replies.map(({ status }) => status).sort(), [200, 409]);
    const { error } = replies.find(({ status }) => status === 409)?.body ?? {};
    const winner = (await callApi(api, MODEL_PATH)).body.spec.description;
    const loser = winner === 'mine' ? 'yours' : 'mine';
    assert.is(error.code, 'conflict');
    assert.is(error.present.metadata.resourceVersion, 2);
    assert.equal(error.differences, [{ path: 'spec.description', present: winner, sent: loser }]);
    const stale = await callApi(api, `${MODEL_PATH}?resourceVersion=1`, { method: 'DELETE' });
    assert.is(stale.status, 409);
    assert.is(api.state.configuration.writes, 2);
  }),
);

// Symptom: a conflict with oneself, or a change made twice.
// Sequence: the table takes the write, its reply is lost, the operator's client tries again.
// Cause: without the client's own request id the second try looks like another operator's write.
test(
  'a write repeated after a lost reply takes effect once',
  withFakeApi(async (api) => {
    const { configuration } = api.state;
    await putModel(api, 'first');
    configuration.losesNextReply = true;
    const headers = { 'x-client-request-id': 'write-7' };
    const lost = await putModel(api, 'second', 1, headers);
    assert.is(lost.status, 503);
    assert.ok(lost.headers['retry-after']);
    const repeated = await putModel(api, 'second', 1, headers);
    assert.is(repeated.status, 200);
    assert.is(repeated.body.resource.metadata.resourceVersion, 2);
    assert.is(api.state.configuration.writes, 2);
  }),
);

test(
  'refuses risky writes while the table is away',
  withFakeApi(async (api) => {
    const { configuration } = api.state;
    configuration.isAway = true;
    const reply = await putModel(api, 'first');
    assert.is(reply.status, 503);
    assert.is(reply.body.error.code, 'configuration_unavailable');
  }),
);

test(
  'status tells how far a resource is in force, and who is behind',
  withFakeApi(async (api) => {
    const { configuration } = api.state;
    await putModel(api, 'first');
    configuration.applied.set('entry-2#1', 0);
    const { status } = (await callApi(api, MODEL_PATH)).body;
    assert.is(status.inForce.appliedDaemons, 1);
    assert.is(status.inForce.totalDaemons, 2);
    assert.equal(status.inForce.behind, ['entry-2#1']);
    assert.is(status.conditions[0].status, 'false');
    configuration.applied.set('entry-2#1', 1);
    configuration.isStale = true;
    const { conditions } = (await callApi(api, '/api/status?revision=1')).body;
    assert.equal(
      conditions.map(({ type, status: is }: { type: string; status: string }) => [type, is]),
      [
        ['InForce', 'true'],
        ['Fresh', 'false'],
      ],
    );
    assert.is((await callApi(api, '/api/status?revision=9')).body.inForce.appliedDaemons, 0);
  }),
);

const WITHDRAWAL_PATH = '/api/resources/Withdrawal/small@3';

const putWithdrawal = (api: Parameters<typeof callApi>[0], isWithdrawn: boolean) =>
  callApi(api, WITHDRAWAL_PATH, {
    method: 'PUT',
    body: { kind: 'Withdrawal', metadata: { name: 'small@3' }, spec: { isWithdrawn } },
  });

test(
  'a withdrawal is a safe move, accepted while the table is away; lifting it is not',
  withFakeApi(async (api) => {
    const { configuration, safeMoves } = api.state;
    safeMoves.isTableAway = true;
    configuration.isAway = true;
    const set = await putWithdrawal(api, true);
    assert.is(set.status, 201);
    assert.is(set.body.resource.status.durability, 'notDurableYet');
    assert.is(api.state.safeMoves.isActive('withdraw', 'small@3'), true);
    assert.is(api.state.safeMoves.list()[0]?.move.by, 'alice');
    assert.is((await putWithdrawal(api, false)).status, 503);
    assert.is((await callApi(api, WITHDRAWAL_PATH, { method: 'DELETE' })).status, 503);
    assert.is(api.state.safeMoves.isActive('withdraw', 'small@3'), true);
    safeMoves.isTableAway = false;
    assert.is((await callApi(api, WITHDRAWAL_PATH, { method: 'DELETE' })).status, 200);
    assert.is(api.state.safeMoves.isActive('withdraw', 'small@3'), false);
  }),
);

test(
  'sets and lifts marks, and drains a VM or an upstream by its name',
  withFakeApi(async (api) => {
    const mark = { kind: 'quarantine', subject: 'small@3', reason: 'empty answers' };
    const set = await callApi(api, '/api/safe-moves', { method: 'POST', body: mark });
    assert.is(set.body.isKnownSubject, false);
    assert.is(api.state.safeMoves.isVersionBlocked('small@3'), true);
    await callApi(api, '/api/safe-moves/lift', { method: 'POST', body: mark });
    assert.is(api.state.safeMoves.isVersionBlocked('small@3'), false);
    const drain = (target: string) =>
      callApi(api, '/api/drain', { method: 'POST', body: { target } });
    assert.is((await drain('entry-1')).body.type, 'vm');
    assert.is((await drain('entry-2')).status, 421, 'only a daemon itself can stop');
    assert.equal(api.state.drainedVms, ['entry-1']);
    const spec = { dataCentre: 'dc-a', type: 'engine', url: 'http://127.0.0.1:1' };
    const upstream = { kind: 'Upstream', metadata: { name: 'engine-7' }, spec };
    await callApi(api, '/api/resources/Upstream/engine-7', { method: 'PUT', body: upstream });
    await drain('engine-7');
    assert.is(api.state.safeMoves.isActive('drain', 'engine-7'), true);
  }),
);

test(
  'explains the fields of every kind',
  withFakeApi(async (api) => {
    const { kinds } = (await callApi(api, '/api/explain')).body;
    for (const kind of kinds) {
      assert.ok((await callApi(api, `/api/explain/${kind}`)).body.fields.length > 0, kind);
    }
    const { fields } = (await callApi(api, '/api/explain/Team')).body;
    const find = (path: string) => fields.find((field: { path: string }) => field.path === path);
    assert.is(find('spec.qualityTarget').isRequired, true);
    assert.is(find('spec.limits.concurrency').default, 64);
    assert.ok(find('spec.keys[].sha256'));
    assert.match(find('spec.tasks.*.isStrict').description, /never explore/);
  }),
);

test.run();

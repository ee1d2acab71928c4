import { request } from 'node:http';
import { install } from '@sinonjs/fake-timers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { BODY_TIMEOUT_MS, MAX_BODY_BYTES } from './constants.js';
import { callApi, createModel, putModel } from './testSupport/callApi.js';
import { READ_TOKEN, type FakeOperatorApi } from './testSupport/fakeOperatorApi.js';
import { withFakeApi } from './testSupport/withFakeApi.js';

const MODEL_PATH = '/api/resources/Model/small';
const NOT_OWN_STATUS = 418;

test(
  'leaves paths of callers to others',
  withFakeApi(async (api) => {
    const paths = ['/v1/models', '/services/x', '/apiary', '/'];
    for (const path of paths) {
      assert.is((await callApi(api, path)).status, NOT_OWN_STATUS, path);
    }
  }),
);

test(
  'answers health and readiness without a token, the rest only with one',
  withFakeApi(async (api) => {
    assert.is((await callApi(api, '/healthz', { token: undefined })).status, 200);
    assert.is((await callApi(api, '/readyz', { token: undefined })).status, 200);
    const { state } = api;
    state.isReady = false;
    const notReady = await callApi(api, '/readyz', { token: undefined });
    assert.is(notReady.status, 503);
    assert.equal(notReady.body.reasons, ['stopping']);
    for (const path of ['/metrics', '/api/status', '/api/resources/Team', '/api/watch']) {
      assert.is((await callApi(api, path, { token: undefined })).status, 401, path);
      assert.is((await callApi(api, path, { token: 'wrong' })).status, 401, path);
    }
    assert.is((await callApi(api, '/metrics', { token: READ_TOKEN })).body, 'up 1\n');
  }),
);

test(
  'lets the read role read and refuses its writes',
  withFakeApi(async (api) => {
    await putModel(api, 'first');
    assert.is((await callApi(api, MODEL_PATH, { token: READ_TOKEN })).status, 200);
    const writes = [
      { path: MODEL_PATH, method: 'PUT', body: createModel('small', 'second') },
      { path: MODEL_PATH, method: 'DELETE' },
      { path: '/api/safe-moves', method: 'POST', body: { kind: 'withdraw', subject: 'small@1' } },
      { path: '/api/safe-moves/lift', method: 'POST', body: { kind: 'drain', subject: 'e' } },
      { path: '/api/drain', method: 'POST', body: { target: 'entry-1' } },
    ];
    for (const { path, ...call } of writes) {
      const reply = await callApi(api, path, { ...call, token: READ_TOKEN });
      assert.is(reply.status, 403, path);
      assert.is(reply.body.error.code, 'not_permitted');
    }
    assert.is(api.state.configuration.writes, 1);
    assert.equal(api.state.safeMoves.list(), []);
    assert.equal(api.state.drainedVms, []);
  }),
);

test(
  'names what is wrong with bad input, and goes on',
  withFakeApi(async (api) => {
    const wrongType = { ...createModel('small', ''), spec: { description: 3 } };
    const cases: readonly [string, string, unknown, number, string][] = [
      ['PUT', MODEL_PATH, 'not json', 400, 'bad_request'],
      ['PUT', MODEL_PATH, '', 400, 'bad_request'],
      ['PUT', MODEL_PATH, '['.repeat(200_000), 400, 'bad_request'],
      ['PUT', MODEL_PATH, wrongType, 422, 'resource_invalid'],
      ['PUT', MODEL_PATH, { ...createModel('small', ''), extra: 1 }, 422, 'resource_invalid'],
      ['PUT', MODEL_PATH, createModel('other', ''), 400, 'bad_request'],
      ['PUT', '/api/resources/Gadget/small', createModel('small', ''), 404, 'unknown_kind'],
      ['PUT', '/api/resources/constructor/a', createModel('small', ''), 404, 'unknown_kind'],
      ['PUT', '/api/resources/Model/BAD%20NAME', createModel('small', ''), 422, 'resource_invalid'],
      ['PUT', `${MODEL_PATH}?dryRun=perhaps`, createModel('small', ''), 400, 'bad_request'],
      ['PUT', `${MODEL_PATH}?dryrun=true`, createModel('small', ''), 400, 'bad_request'],
      ['GET', '/api/resources/Model/%E0%A4%A', undefined, 400, 'bad_request'],
      ['GET', '/api/timeline?sinceMs=yesterday', undefined, 400, 'bad_request'],
      ['GET', '/api/report?fromMs=5&untilMs=4', undefined, 400, 'bad_request'],
      ['GET', MODEL_PATH, undefined, 404, 'not_found'],
      ['GET', '/api/nothing', undefined, 404, 'not_found'],
      ['PATCH', MODEL_PATH, {}, 405, 'method_not_allowed'],
      ['POST', '/api/safe-moves', { kind: 'withdraw', subject: 'x' }, 422, 'resource_invalid'],
      ['POST', '/api/safe-moves', { kind: 'boost', subject: 'a@1' }, 400, 'bad_request'],
      ['POST', '/api/drain', { target: 'nobody' }, 404, 'not_found'],
    ];
    for (const [method, path, body, status, code] of cases) {
      const reply = await callApi(api, path, { method, body });
      assert.is(reply.status, status, `${method} ${path}`);
      assert.is(reply.body.error.code, code, `${method} ${path}`);
    }
    const invalid = await callApi(api, MODEL_PATH, { method: 'PUT', body: wrongType });
    assert.is(invalid.body.error.issues[0].path, 'spec.description');
    assert.is(api.state.configuration.writes, 0);
    assert.is((await putModel(api, 'good')).status, 201);
  }),
);

/** Sends a body of the size and resolves with the status that comes back. */
const sendBody = (api: FakeOperatorApi, sizeBytes: number): Promise<number | undefined> =>
  new Promise((resolve, reject) => {
    const headers = { authorization: 'Bearer write-secret' };
    const call = request(new URL(MODEL_PATH, api.url), { method: 'PUT', headers }, (response) => {
      response.resume();
      resolve(response.statusCode);
    });
    call.on('error', reject);
    call.end(Buffer.alloc(sizeBytes, 'a'));
  });

// Symptom: the sender of a large body saw a reset connection and no reason.
// Sequence: the body passes the limit; the daemon stops reading and closes the socket.
// Cause: leaving the body's iterator early destroys the request's socket.
test(
  'answers 413 to a body that is too large',
  withFakeApi(async (api) => {
    assert.is(await sendBody(api, MAX_BODY_BYTES + 1), 413);
    assert.is(await sendBody(api, 2 * MAX_BODY_BYTES), 413);
    assert.is(await sendBody(api, 10), 400);
  }),
);

const waitForTimer = async (countTimers: () => number): Promise<void> => {
  while (countTimers() === 0) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
};

// Symptom: connections that stay open without an answer, more each day.
// Sequence: a sender announces a body, sends a part of it, and stops.
// Cause: reading a body has no end of its own.
test(
  'answers 408 to a body that does not arrive',
  withFakeApi(async (api) => {
    const clock = install({ toFake: ['setTimeout', 'clearTimeout'] });
    try {
      const headers = { authorization: 'Bearer write-secret', 'content-length': 100 };
      const status = new Promise<number | undefined>((resolve, reject) => {
        const call = request(new URL(MODEL_PATH, api.url), { method: 'PUT', headers });
        call.on('response', (response) => resolve(response.statusCode));
        call.on('error', reject);
        call.write('{"kind"');
      });
      await waitForTimer(() => clock.countTimers());
      clock.tick(BODY_TIMEOUT_MS);
      assert.is(await status, 408);
    } finally {
      clock.uninstall();
    }
  }),
);

test.run();

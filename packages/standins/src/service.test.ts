import * as assert from 'uvu/assert';
import { test } from 'uvu';
import { ConnectionLostError, NotStartedError, RunFailedError, StaleFenceError } from './errors.js';
import { getBodyDigest, ServiceCore, type ServiceRequest } from './service.js';
import { withClock } from './testClock.js';

const createRequest = (fields: Partial<ServiceRequest> = {}): ServiceRequest => ({
  method: 'POST',
  path: '/filings/1',
  body: 'well 7',
  requestKey: 'k',
  ...fields,
});

const getError = (call: Promise<unknown>): Promise<unknown> => call.catch((thrown) => thrown);

test('a run whose reply is lost counts, and a repeat of what must run once is found', async () => {
  // Symptom: a filing is doubled.
  // Sequence: the call runs, its reply is lost, the caller calls again.
  // Cause: the caller repeats a call whose outcome it does not know.
  const service = new ServiceCore({ onceOnlyPaths: ['/filings'] });
  service.gate.setFaults({ loseNextReplies: 1 });
  assert.instance(await getError(service.call(createRequest())), ConnectionLostError);
  assert.equal(service.getTruth().repeatedKeys, []);
  const reply = await service.call(createRequest());
  assert.equal(reply, {
    method: 'POST',
    path: '/filings/1',
    requestKey: 'k',
    bodyDigest: getBodyDigest('well 7'),
    run: 2,
  });
  await service.call(createRequest({ path: '/status', requestKey: 's' }));
  await service.call(createRequest({ path: '/status', requestKey: 's' }));
  const truth = service.getTruth();
  assert.equal(truth.runsByKey, { k: 2, s: 2 });
  assert.equal(truth.repeatedKeys, ['k']);
});

test('a refusal ran nothing, a failure ran', async () => {
  const service = new ServiceCore();
  service.setFaults({ isRefusing: true });
  assert.instance(await getError(service.call(createRequest())), NotStartedError);
  service.setFaults({ isRefusing: false, failRate: 1 });
  assert.instance(await getError(service.call(createRequest())), RunFailedError);
  const { started, refused, failed } = service.getTruth();
  assert.equal([started, refused, failed], [1, 1, 1]);
});

test('calls above the limit are refused while others run', () =>
  withClock(async (clock) => {
    const service = new ServiceCore({ workMs: 100, maxRunning: 1 });
    const first = service.call(createRequest());
    assert.instance(await getError(service.call(createRequest())), NotStartedError);
    await clock.tickAsync(100);
    assert.is((await first).run, 1);
  }));

test('old fences are refused where checked; work while leaving is recorded', () =>
  withClock(async (clock) => {
    const service = new ServiceCore({ checksFences: true });
    await service.call(createRequest({ fence: 2 }));
    assert.instance(await getError(service.call(createRequest({ fence: 1 }))), StaleFenceError);
    service.setLeaving(true);
    await clock.tickAsync(250);
    await service.call(createRequest({ fence: 2 }));
    const { runs, startedWhileLeaving } = service.getTruth();
    assert.equal([runs.length, startedWhileLeaving], [2, 1]);
    assert.is(runs[1]?.startedAfterLeavingMs, 250);
  }));

test.run();

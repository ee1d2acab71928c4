import { startStandins, type Handle, type EngineCore, type Standins } from '@snipehaven/standins';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  callDaemon,
  createChat,
  openCall,
  type CallAnswer,
  type CallOptions,
  type ErrorAnswer,
} from '../testSupport/callerClient.js';
import {
  expectNoLeaks,
  startTestDaemon,
  testKeys,
  waitUntil,
  type TestDaemon,
} from '../testSupport/startTestDaemon.js';

const test = suite('upstreamFaults');
let daemon: TestDaemon;
let others: Standins;
let near: EngineCore;
let far: EngineCore;

const getCore = (engines: readonly Handle<EngineCore>[]): EngineCore => {
  const [engine] = engines;
  assert.ok(engine);
  return engine.core;
};

const call = (options: CallOptions = {}): Promise<CallAnswer> =>
  callDaemon(daemon, { key: testKeys.wide, body: createChat(), ...options });

const countStarted = (): number => near.getTruth(false).started + far.getTruth(false).started;

const getError = (answer: CallAnswer): ErrorAnswer['error'] =>
  (JSON.parse(answer.text) as ErrorAnswer).error;

const getVersion = ({ headers }: CallAnswer): unknown => headers['x-snipehaven-version'];

const once = (key: string): CallOptions => ({
  headers: { 'idempotency-key': key, 'x-snipehaven-non-idempotent': 'true' },
});

test.before(async () => {
  daemon = await startTestDaemon();
  const versions = ['small@1', 'small@2'];
  others = await startStandins({
    platform: false,
    engines: [{ name: 'far-1', versions, tokenMs: 2, tokenMsPerRunning: 0 }],
  });
  near = getCore(daemon.standins.engines);
  far = getCore(others.engines);
  const url = others.engines[0]?.url;
  const spec = { dataCentre: 'dc-2', type: 'engine', url, versions };
  await daemon.apply('Upstream', 'far-1', spec);
  const dear = { inputMicroUsdPerMillionTokens: 2e6, outputMicroUsdPerMillionTokens: 2e6 };
  await daemon.apply('ModelVersion', 'small@2', { ...dear, priorQuality: 0.9, priorWeight: 100 });
});

test.after.each(async () => {
  [near, far].forEach((engine) => {
    engine.clearFaults();
    engine.setSizes({ tokenMs: 2 });
  });
  await expectNoLeaks(daemon);
});

test.after(async () => {
  await daemon.stop();
  await others.stop();
});

test('goes to another data centre, then to another version, then refuses as not run', async () => {
  near.setFaults({ isRefusing: true });
  const spilled = await call();
  assert.equal([spilled.status, getVersion(spilled)], [200, 'small@1']);
  assert.is(far.getTruth(false).started, 1);
  far.setFaults({ isRefusing: true });
  const startedBefore = countStarted();
  const refused = await call();
  assert.is(refused.status, 503);
  assert.is(getError(refused).run, 'notRun');
  assert.ok(Number(refused.headers['retry-after']) >= 1);
  assert.is(countStarted(), startedBefore);
});

test('moves a session once when its version is withdrawn, and says so', async () => {
  // Symptom: a session changes its version without need, or goes on on a withdrawn one.
  // Sequence: a session runs on a version; the version is withdrawn; two more requests come.
  // Cause: the pin is not checked against withdrawals, or is not renewed by the move.
  const { safeMoves } = daemon.core.configuration;
  const first = await call();
  assert.is(getVersion(first), 'small@1');
  await safeMoves.activate('withdraw', 'small@1', 'bad', 'test');
  const toHeaders = (answer: CallAnswer): CallOptions => ({
    headers: { 'x-snipehaven-session': String(answer.headers['x-snipehaven-session']) },
  });
  const moved = await call(toHeaders(first));
  assert.is(getVersion(moved), 'small@2');
  assert.is(moved.headers['x-snipehaven-session-moved'], 'withdrawn');
  await safeMoves.lift('withdraw', 'small@1', 'good', 'test');
  const kept = await call(toHeaders(moved));
  assert.is(getVersion(kept), 'small@2');
  assert.is(kept.headers['x-snipehaven-session-moved'], undefined);
});

test('runs a request that may not be repeated once, when the engine restarts in mid-run', async () => {
  // Symptom: a filing is made twice.
  // Sequence: an engine restarts while it runs the request; it answers 404 for the stream from then on.
  // Cause: its 404 is taken for "never started", and the request goes to another engine.
  const startedBefore = countStarted();
  const body = createChat({ max_tokens: 3_000 });
  const answering = call({ ...once('restart-1'), body });
  await waitUntil('the request runs', () => countStarted() > startedBefore);
  [near, far].forEach((engine) => engine.restart());
  const lost = await answering;
  assert.is(lost.status, 502);
  assert.is.not(getError(lost).run, 'notRun');
  const again = await call({ ...once('restart-1'), body });
  assert.is(again.status, 409);
  assert.is(getError(again).run, 'unknown');
  assert.is(countStarted(), startedBefore + 1);
});

test('answers once and whole when the connection to the engine drops or is silent', async () => {
  // Symptom: a request that may not be repeated is refused or runs twice for a dead connection.
  // Sequence: the engine's first connection breaks in mid-answer while the run goes on.
  // Cause: a lost connection is taken for a lost run.
  const startedBefore = countStarted();
  [near, far].forEach((engine) => engine.setFaults({ dropNext: 1 }));
  const answer = await call({ ...once('drop-1'), body: createChat({ max_tokens: 50 }) });
  assert.is(answer.status, 200);
  assert.is(countStarted(), startedBefore + 1);
  const { usage } = JSON.parse(answer.text) as { usage: { completion_tokens: number } };
  assert.is(usage.completion_tokens, 50);
});

test('runs an idempotent request again elsewhere when its engine loses it', async () => {
  near.setFaults({ crashNext: 1 });
  const startedBefore = countStarted();
  const answer = await call({ body: createChat({ max_tokens: 20 }) });
  assert.is(answer.status, 200);
  assert.is(countStarted(), startedBefore + 2);
});

test('ends at the deadline and says whether the request ran', async () => {
  const headers = { 'x-snipehaven-deadline-ms': '300' };
  const late = await call({ headers, body: createChat({ max_tokens: 5_000 }) });
  assert.is(late.status, 504);
  assert.is.not(getError(late).run, 'notRun');
});

test("refuses at once what is over the team's limits, with a time to come back", async () => {
  const startedBefore = countStarted();
  const body = createChat({ max_tokens: 5_000 });
  const first = openCall(daemon, { key: testKeys.narrow, body });
  await waitUntil('the request runs', () => countStarted() > startedBefore);
  const second = await call({ key: testKeys.narrow });
  assert.is(second.status, 429);
  assert.is(getError(second).run, 'notRun');
  assert.ok(Number(second.headers['retry-after-ms']) > 0);
  first.destroy();
});

test.run();

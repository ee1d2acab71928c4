/** A chat that ends each engine that runs it, asked again and again. */
import { startStandins, type Standins } from '@snipehaven/standins';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { callDaemon, createChat, type ErrorAnswer } from '../testSupport/callerClient.js';
import { startTestDaemon, testKeys, type TestDaemon } from '../testSupport/startTestDaemon.js';

const test = suite('a chat that ends engines');

const ENGINES = 8;
const CALLS = 6;

/** Three of the first call, and one of the next. */
const MAX_ENDS = 4;
const WATCH_MS = 2;

let daemon: TestDaemon;
/** Of one engine each, so that each can end alone. */
let frail: readonly Standins[];
let watch: NodeJS.Timeout;
const ended = new Set<string>();

/** Whatever these engines begin to run ends them. */
const endThoseThatRun = (): void => {
  for (const standins of frail) {
    const [engine] = standins.engines;
    if (engine && !ended.has(engine.name) && engine.core.getTruth(false).started > 0) {
      ended.add(engine.name);
      void standins.stop();
    }
  }
};

test.before(async () => {
  daemon = await startTestDaemon();
  const versions = ['small@2'];
  frail = await Promise.all(
    Array.from({ length: ENGINES }, (_, index) =>
      startStandins({
        platform: false,
        engines: [{ name: `frail-${index + 1}`, versions, tokenMs: 50, tokenMsPerRunning: 0 }],
      }),
    ),
  );
  await daemon.apply('ModelVersion', 'small@2', {
    inputMicroUsdPerMillionTokens: 1e6,
    outputMicroUsdPerMillionTokens: 1e6,
    priorQuality: 0.9,
    priorWeight: 100,
  });
  const base = { dataCentre: 'dc-1', type: 'engine' };
  for (const { name, url } of frail.flatMap(({ engines }) => engines)) {
    await daemon.apply('Upstream', name, { ...base, url, versions });
  }
  watch = setInterval(endThoseThatRun, WATCH_MS);
});

test.after(async () => {
  clearInterval(watch);
  await daemon.stop();
  const alive = frail.filter(({ engines }) => engines.every(({ name }) => !ended.has(name)));
  await Promise.all(alive.map((standins) => standins.stop()));
});

// Symptom: engines end one after the other. Sequence: a chat ends the engine that runs it; it is repeated at
// the next one, and the caller comes again. Cause: what speaks against it is forgotten with each request.
test('is held back once the next call shows that it was no chance', async () => {
  const ask = () =>
    callDaemon(daemon, { key: testKeys.wide, body: createChat({ model: 'small@2' }) });
  for (let asked = 0; asked < CALLS; asked += 1) {
    await ask();
  }
  const held = await ask();
  assert.is(ended.size, MAX_ENDS);
  assert.is(held.status, 503);
  const { error } = JSON.parse(held.text) as ErrorAnswer;
  assert.equal([error.code, error.run], ['held', 'notRun']);
  assert.ok(Number(held.headers['retry-after']) > 60);
});

test.run();

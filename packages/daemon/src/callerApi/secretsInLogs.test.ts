import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { callDaemon, createChat, type CallOptions } from '../testSupport/callerClient.js';
import {
  startTestDaemon,
  testKeys,
  testSecrets,
  waitUntil,
} from '../testSupport/startTestDaemon.js';

const test = suite('secretsInLogs');

const prompt = 'a prompt that belongs to the team alone';
const chat = createChat({ messages: [{ role: 'user', content: prompt }] });

test('writes no key, secret, token or prompt into its log, whatever happens', async () => {
  // Symptom: whoever reads the logs can act as a team, an operator or a daemon.
  // Sequence: requests succeed, are refused and fail inside while the daemon logs all it can.
  // Cause: an error or a request is logged whole, with its headers.
  const daemon = await startTestDaemon();
  const [engine] = daemon.standins.engines;
  const calls: readonly CallOptions[] = [
    { body: chat },
    { body: chat, key: 'unknown-key-of-a-caller' },
    { body: chat, headers: { 'idempotency-key': 'claim', 'x-snipehaven-non-idempotent': 'true' } },
    { body: { ...chat, model: 5 } },
    { path: '/services/desk/filings', body: chat },
  ];
  for (const options of calls) {
    await callDaemon(daemon, options);
  }
  engine?.core.setFaults({ crashNext: 20 });
  const failed = await callDaemon(daemon, { body: chat, key: testKeys.wide });
  assert.is(failed.status, 502);
  const answer = await callDaemon(daemon, { body: chat, key: testKeys.narrowNext });
  const token = String(answer.headers['x-snipehaven-session']);
  daemon.standins.platform?.table.core.gate.setFaults({ isDown: true });
  await callDaemon(daemon, { ...calls[2], key: testKeys.wide });
  daemon.standins.platform?.table.core.gate.clearFaults();
  await waitUntil('something is logged', () => daemon.getLog().length > 0);
  await daemon.stop();
  const log = daemon.getLog();
  const kept = [
    ...Object.values(testSecrets),
    ...Object.values(testKeys),
    'unknown-key-of-a-caller',
    token,
    prompt,
  ];
  kept.forEach((secret) => assert.not.match(log, secret));
  assert.match(log, '"vm":"entry-1"');
});

test.run();

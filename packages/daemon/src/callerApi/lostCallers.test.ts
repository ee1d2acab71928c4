import { once } from 'node:events';
import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { sleep } from '@snipehaven/common';
import type { UsageEntry } from '@snipehaven/protocol';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  callDaemon,
  createChat,
  listEvents,
  openCall,
  openSocket,
  readText,
  readUntilClosed,
  toWire,
} from '../testSupport/callerClient.js';
import {
  expectNoLeaks,
  READ_TIMEOUT_MS,
  startTestDaemon,
  testKeys,
  waitUntil,
  type TestDaemon,
} from '../testSupport/startTestDaemon.js';

const REQUEST_STARTED = 'http.server.request.start';
const MAX_BUFFERED_BYTES = 1_048_576;

const test = suite('lostCallers');
let daemon: TestDaemon;

const getTruth = () => {
  const [engine] = daemon.standins.engines;
  assert.ok(engine);
  return engine.core.getTruth();
};

const getStarted = (): number => getTruth().started;

const getLastStream = () => {
  const stream = getTruth().streams.at(-1);
  assert.ok(stream);
  return stream;
};

const findRun = (requestId: string) => {
  const run = getTruth().streams.find(({ streamId }) => streamId.startsWith(`${requestId}.`));
  assert.ok(run);
  return run;
};

/** The request's records, once the ledger has brought them to the table. */
const listBills = async (requestId: string): Promise<readonly UsageEntry[]> => {
  const list = async () => {
    const entries = await daemon.core.ledgerReader.listEntries({});
    return entries.filter((entry) => entry.requestId === requestId);
  };
  await waitUntil(`a bill of ${requestId}`, async () => (await list()).length > 0);
  return list();
};

const expectServing = async (): Promise<void> => {
  await expectNoLeaks(daemon);
  assert.is((await callDaemon(daemon, { body: createChat() })).status, 200);
};

const stream = (maxTokens: number): object => createChat({ stream: true, max_tokens: maxTokens });

test.before(async () => {
  daemon = await startTestDaemon();
});

test.after(async () => {
  await daemon.stop();
});

/** The request of a caller that leaves in mid-answer, and how many events it got. */
const leaveInMidAnswer = async (): Promise<{ requestId: string; received: number }> => {
  const call = openCall(daemon, { body: stream(5_000) });
  const [answer] = (await once(call, 'response')) as [IncomingMessage];
  const [part] = (await once(answer, 'data')) as [Buffer];
  call.destroy();
  const requestId = String(answer.headers['x-request-id']);
  return { requestId, received: listEvents(part.toString('utf8')).length };
};

test('cancels the runs of callers that leave, and bills each once for what it was given', async () => {
  // Symptom: an engine works on for callers that have gone; a broken-off stream is billed whole or twice.
  // Sequence: callers leave before their answer, in the middle of it and after it.
  // Cause: the engine's run outlives its connection, and the bill is taken from what the engine made.
  const startedBefore = getStarted();
  const early = openCall(daemon, { body: createChat({ max_tokens: 5_000 }) });
  await waitUntil('the request runs', () => getStarted() > startedBefore);
  const earlyId = getLastStream().streamId.split('.')[0] as string;
  early.destroy();
  await expectServing();
  const mid = await leaveInMidAnswer();
  await expectServing();
  const late = await callDaemon(daemon, { body: stream(7) });
  assert.match(listEvents(late.text).at(-2) ?? '', '"finish_reason":"stop"');
  await expectServing();

  assert.is(findRun(earlyId).state, 'cancelled');
  assert.is(findRun(mid.requestId).state, 'cancelled');
  const [earlyBill] = await listBills(earlyId);
  assert.equal([earlyBill?.outcome, earlyBill?.lines], ['unanswered', []]);
  const midBills = await listBills(mid.requestId);
  assert.equal([midBills.length, midBills[0]?.outcome], [1, 'partial']);
  const billed = midBills[0]?.lines[0]?.completionTokens ?? 0;
  assert.ok(billed >= mid.received, `${billed} billed, ${mid.received} received`);
  assert.ok(billed <= findRun(mid.requestId).completionTokens);
  const lateBills = await listBills(String(late.headers['x-request-id']));
  const lateTokens = lateBills.map(({ lines }) => lines.map((line) => line.completionTokens));
  assert.equal(lateTokens, [[7]]);
});

test('takes a caller that closes its half of the connection for gone', async () => {
  // Symptom: requests of crashed callers run to their end.
  // Sequence: the caller's system closes the sending side, as it does for a process that has died.
  // Cause: an end of input is taken for an end of the request only.
  const startedBefore = getStarted();
  const socket = await openSocket(daemon);
  socket.write(toWire(stream(5_000)));
  await waitUntil('the request runs', () => getStarted() > startedBefore);
  socket.end();
  await readUntilClosed(socket);
  await expectServing();
  assert.is(getTruth().streams.filter(({ state }) => state === 'running').length, 0);
});

test('keeps the run of a non-idempotent request whose caller has gone, for the retry', async () => {
  // Symptom: the retry of a lost caller is refused or runs a second time.
  // Sequence: the caller leaves in mid-run and asks again under the same key.
  // Cause: the run ends with its caller, and nothing is kept for the retry.
  const startedBefore = getStarted();
  const headers = { 'idempotency-key': 'lost-1', 'x-snipehaven-non-idempotent': 'true' };
  const options = { headers, body: createChat({ max_tokens: 100 }) };
  const call = openCall(daemon, options);
  await waitUntil('the request runs', () => getStarted() > startedBefore);
  call.destroy();
  await waitUntil('the answer is replayed', async () => {
    const answer = await callDaemon(daemon, options);
    return answer.status === 200 && answer.headers['x-snipehaven-replayed'] === 'true';
  });
  assert.is(getStarted(), startedBefore + 1);
  await expectServing();
});

test('answers pipelined requests in their order, each whole', async () => {
  const socket = await openSocket(daemon);
  socket.write(`${toWire(stream(40))}${toWire(stream(3), { connection: 'close' })}`);
  const text = await readUntilClosed(socket);
  const ends = listEvents(text.replaceAll('\r\n', '\n\n')).filter((data) => data === '[DONE]');
  assert.is(ends.length, 2);
  assert.is(text.split('HTTP/1.1 200 OK').length - 1, 2);
  await expectServing();
});

test('lets go of pipelined requests when their caller leaves', async () => {
  // Symptom: `snipehaven_requests_running` stays up though nobody is connected.
  // Sequence: two streams are asked for over one connection; the second fills its buffer and waits
  // behind the first; the caller leaves.
  // Cause: a response that waits for its connection hears neither `drain` nor `close`.
  const startedBefore = getStarted();
  const socket = await openSocket(daemon);
  socket.write(`${toWire(stream(50_000))}${toWire(stream(50_000))}`);
  await waitUntil('both run', () => getStarted() === startedBefore + 2);
  await sleep(500);
  socket.destroy();
  await expectServing();
});

/** Response of the next request that the daemon gets. */
const catchResponse = (): Promise<ServerResponse> =>
  new Promise((resolve) => {
    const listener = (message: unknown): void => {
      const { request, response } = message as {
        request: IncomingMessage;
        response: ServerResponse;
      };
      if (request.url === '/v1/chat/completions' && request.headers.authorization !== undefined) {
        unsubscribe(REQUEST_STARTED, listener);
        resolve(response);
      }
    };
    subscribe(REQUEST_STARTED, listener);
  });

test('holds little of an answer that is read slowly, and gives it whole', async () => {
  // Symptom: the daemon's memory grows with the answers of slow readers.
  // Sequence: an engine makes an answer of many megabytes at once; the caller pauses while reading.
  // Cause: events are taken from the engine faster than the caller takes them.
  const [engine] = daemon.standins.engines;
  engine?.core.setSizes({ tokenMs: 0 });
  const caught = catchResponse();
  const call = openCall(daemon, { key: testKeys.wide, body: stream(100_000) });
  const [answer] = (await once(call, 'response')) as [IncomingMessage];
  const response = await caught;
  answer.pause();
  await sleep(READ_TIMEOUT_MS / 2);
  const bufferedBytes = response.writableLength + (response.socket?.writableLength ?? 0);
  assert.not.ok(response.writableEnded, 'the answer waits for its reader');
  assert.ok(bufferedBytes < MAX_BUFFERED_BYTES, `${bufferedBytes} bytes`);
  const events = listEvents(await readText(answer));
  assert.is(events.at(-1), '[DONE]');
  assert.is(events.length, 100_000 + 2);
  engine?.core.setSizes({ tokenMs: 2 });
  await expectServing();
});

test('gives up a caller that reads nothing any more', async () => {
  // Symptom: a place is held for ever by a caller that stays connected.
  // Sequence: the caller stops reading for good; the daemon waits for it to drain.
  // Cause: the wait for the reader has no end of its own, and the deadline does not reach it.
  const [engine] = daemon.standins.engines;
  engine?.core.setSizes({ tokenMs: 0 });
  const call = openCall(daemon, { key: testKeys.wide, body: stream(100_000) });
  const [answer] = (await once(call, 'response')) as [IncomingMessage];
  answer.pause();
  engine?.core.setSizes({ tokenMs: 2 });
  await expectServing();
  assert.is(getLastStream().state, 'finished');
  call.destroy();
});

test.run();

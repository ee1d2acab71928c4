import { sleep } from '@snipehaven/common';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  callDaemon,
  createChat,
  openSocket,
  readUntilClosed,
  toWire,
  type CallOptions,
  type ErrorAnswer,
} from '../testSupport/callerClient.js';
import {
  expectNoLeaks,
  MAX_BODY_BYTES,
  startTestDaemon,
  waitUntil,
  type TestDaemon,
} from '../testSupport/startTestDaemon.js';

interface BadCall extends CallOptions {
  readonly name: string;
  readonly status: number;
  readonly code: string;
  /** A part of the message that tells what is wrong. */
  readonly says: string;
}

const test = suite('badInput');
let daemon: TestDaemon;

const getStarted = (): number => daemon.standins.engines[0]?.core.getTruth(false).started ?? 0;

/** The daemon serves on, and the team's only place is free. */
const expectServing = async (): Promise<void> => {
  await expectNoLeaks(daemon);
  assert.is((await callDaemon(daemon, { body: createChat() })).status, 200);
};

const expectRefusal = (text: string, code: string, says: string, name: string): void => {
  const { error } = JSON.parse(text) as ErrorAnswer;
  assert.is(error.code, code, `${name}: ${text}`);
  assert.is(error.run, 'notRun', name);
  assert.match(error.message, says, name);
  assert.ok(error.type.endsWith('_error'), name);
};

const createInvalid = (name: string, body: CallOptions['body'], says: string): BadCall => ({
  name,
  body: body ?? '',
  status: 400,
  code: 'invalidRequest',
  says,
});

const createBadHeader = (header: string, value: string): BadCall => ({
  ...createInvalid(`${header}: ${value}`, createChat(), header),
  headers: { [header]: value },
});

const tooLarge = { status: 413, code: 'bodyTooLarge', says: String(MAX_BODY_BYTES) };
const largeBody = 'x'.repeat(MAX_BODY_BYTES + 1);
const forbidden = { status: 403, code: 'forbidden', says: 'may not' };
const unauthorized = { status: 401, code: 'unauthorized', says: 'key' };
const noPath = { status: 404, code: 'unknownPath' };
const noModel = { status: 404, code: 'unknownModel', says: 'does not exist' };

const badCalls: readonly BadCall[] = [
  { name: 'a declared body too large', body: largeBody, ...tooLarge },
  { name: 'a chunked body too large', body: largeBody, isChunked: true, ...tooLarge },
  createInvalid('no JSON', '{"model":', 'not JSON'),
  createInvalid('no body', '', 'not JSON'),
  createInvalid('no UTF-8', Buffer.from([0x22, 0xff, 0x22]), 'not UTF-8'),
  createInvalid('too deep', '['.repeat(65) + ']'.repeat(65), 'deeper than 64'),
  createInvalid('a list', [], 'body'),
  createInvalid('messages of a wrong type', createChat({ messages: 5 }), 'messages'),
  createInvalid('no messages', createChat({ messages: [] }), 'messages'),
  createInvalid('a wrong role', createChat({ messages: [{ role: 'boss' }] }), 'messages.0.role'),
  createInvalid('a wrong limit', createChat({ max_tokens: 'many' }), 'max_tokens'),
  createInvalid('a limit of 0', createChat({ max_tokens: 0 }), 'max_tokens'),
  createInvalid('a wrong stream', createChat({ stream: 'yes' }), 'stream'),
  createInvalid('two choices', createChat({ n: 2 }), 'one choice'),
  createBadHeader('x-snipehaven-task', 'Not A Task'),
  createBadHeader('x-snipehaven-priority', '10'),
  createBadHeader('x-snipehaven-priority', ''),
  createBadHeader('x-snipehaven-priority', 'high'),
  createBadHeader('x-snipehaven-deadline-ms', '0'),
  createBadHeader('x-snipehaven-deadline-ms', '-5'),
  createBadHeader('x-snipehaven-deadline-ms', '1e3'),
  createBadHeader('x-snipehaven-non-idempotent', 'yes'),
  createBadHeader('idempotency-key', 'k'.repeat(201)),
  createBadHeader('x-session-id', 's'.repeat(201)),
  { name: 'an unknown model', body: createChat({ model: 'huge' }), ...noModel },
  { name: 'the beginning of a model', body: createChat({ model: 'smal' }), ...noModel },
  { name: 'an unknown version', body: createChat({ model: 'small@9' }), ...noModel },
  { name: 'a model not allowed', body: createChat({ model: 'large' }), ...forbidden },
  { name: 'a version not allowed', body: createChat({ model: 'large@1' }), ...forbidden },
  { ...createInvalid('a path that is none', '', 'path'), path: '//' },
  { name: 'an unknown path', path: '/v1/other', ...noPath, says: '/v1/other' },
  { name: 'a wrong method', method: 'DELETE', path: '/v1/models', ...noPath, says: 'DELETE' },
  { name: 'an unknown service', path: '/services/none/x', ...noPath, says: 'none' },
  { name: 'an unlisted operation', path: '/services/desk/other', ...noPath, says: '/other' },
  { name: 'a service not allowed', path: '/services/vault/x', ...forbidden },
  { name: 'no key', key: null, body: createChat(), ...unauthorized },
  { name: 'an unknown key', key: 'other', body: createChat(), ...unauthorized },
  { name: 'another scheme', key: null, headers: { authorization: 'Basic x' }, ...unauthorized },
];

test.before(async () => {
  daemon = await startTestDaemon();
});

test.after(async () => {
  await daemon.stop();
});

test('refuses each bad call with a clear error and runs nothing', async () => {
  const startedBefore = getStarted();
  for (const { name, status, code, says, ...options } of badCalls) {
    const answer = await callDaemon(daemon, options);
    assert.is(answer.status, status, `${name}: ${answer.text}`);
    assert.is(answer.headers['x-snipehaven-run'], 'notRun', name);
    expectRefusal(answer.text, code, says, name);
  }
  assert.is(getStarted(), startedBefore);
  await expectServing();
});

const head = 'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer wide-key\r\n';

test('answers a sender of a body too large that reads only when all is sent', async () => {
  // Symptom: the caller sees a reset connection in place of the refusal.
  // Sequence: a body is refused by its declared length; the caller goes on sending it, then reads.
  // Cause: a connection closed with bytes unread is reset, and the next write of the caller fails.
  const sizeBytes = 50 * MAX_BODY_BYTES;
  const socket = await openSocket(daemon);
  socket.write(`${head}content-length: ${sizeBytes}\r\n\r\n`);
  for (let sentBytes = 0; sentBytes < sizeBytes; sentBytes += MAX_BODY_BYTES) {
    await new Promise((resolve) => {
      socket.write('x'.repeat(MAX_BODY_BYTES), resolve);
    });
    await sleep(1);
  }
  const answer = await readUntilClosed(socket);
  assert.match(answer, /^HTTP\/1.1 413 /);
  expectRefusal(answer.slice(answer.indexOf('\r\n\r\n')), 'bodyTooLarge', 'over', 'sending');
  await expectServing();
});

interface BadBytes {
  readonly name: string;
  readonly text: string;
  readonly status: number;
  readonly code: string;
  readonly says: string;
}

const noHttp = { status: 400, code: 'invalidRequest', says: 'HTTP' };
const tooSlow = { status: 408, code: 'requestTimeout' };

const badBytes: readonly BadBytes[] = [
  { name: 'garbage', text: '\u0016\u0003\u0001 no http\r\n\r\n', ...noHttp },
  { name: 'a wrong header', text: `${head}bad header\r\n\r\n`, ...noHttp },
  {
    name: 'headers too long',
    text: `${head}x-pad: ${'p'.repeat(20_000)}\r\n\r\n`,
    status: 431,
    code: 'headersTooLarge',
    says: 'headers',
  },
  { name: 'headers that never end', text: head, ...tooSlow, says: 'in time' },
  {
    name: 'a body that never ends',
    text: `${head}content-length: 100\r\n\r\n{`,
    ...tooSlow,
    says: 'within',
  },
];

test('answers bytes that no handler sees in the same shape', async () => {
  for (const { name, text, status, code, says } of badBytes) {
    const socket = await openSocket(daemon);
    socket.write(text);
    const answer = await readUntilClosed(socket);
    assert.match(answer, new RegExp(`^HTTP/1.1 ${status} `), name);
    assert.match(answer.toLowerCase(), 'x-snipehaven-run: notrun', name);
    expectRefusal(answer.slice(answer.indexOf('\r\n\r\n')), code, says, name);
  }
  await expectServing();
});

test('outlives callers that leave before their request is whole', async () => {
  const halves = ['', 'POST', head, `${head}content-length: 100\r\n\r\n{`];
  for (const text of halves) {
    const halfClosed = await openSocket(daemon);
    halfClosed.end(text);
    await readUntilClosed(halfClosed);
    const reset = await openSocket(daemon);
    reset.write(text);
    reset.resetAndDestroy();
  }
  await expectServing();
});

test('does not call a running request not run because of what comes after it', async () => {
  // Symptom: a caller is told "not run" for a request that runs.
  // Sequence: a whole request arrives, and bytes that are no HTTP behind it while it runs.
  // Cause: the parser's error is answered at once, and the answer is read as that of the first request.
  const startedBefore = getStarted();
  const socket = await openSocket(daemon);
  socket.write(toWire(createChat({ max_tokens: 2_000 })));
  await waitUntil('the request runs', () => getStarted() > startedBefore);
  socket.write('no http at all\r\n\r\n');
  assert.is(await readUntilClosed(socket), '');
  await expectServing();
});

test.run();

import { randomUUID } from 'node:crypto';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  callDaemon,
  createChat,
  type CallAnswer,
  type CallOptions,
} from '../testSupport/callerClient.js';
import {
  hashSecret,
  startTestDaemon,
  testKeys,
  waitUntil,
  type TestDaemon,
} from '../testSupport/startTestDaemon.js';

const SESSION_FIELD = 3;

const test = suite('authentication');
let daemon: TestDaemon;

const getStarted = (): number => daemon.standins.engines[0]?.core.getTruth(false).started ?? 0;

const call = (key: string, options: CallOptions = {}): Promise<CallAnswer> =>
  callDaemon(daemon, { body: createChat(), ...options, key });

const getToken = (answer: CallAnswer): string => String(answer.headers['x-snipehaven-session']);

/** The session that a token stands for; callers see nothing in a token, tests may look. */
const readSession = (token: string): unknown => {
  const [payload = ''] = token.split('.');
  return (JSON.parse(Buffer.from(payload, 'base64url').toString('utf8')) as unknown[])[
    SESSION_FIELD
  ];
};

const isRefused = async (key: string): Promise<boolean> => (await call(key)).status === 401;

test.before(async () => {
  daemon = await startTestDaemon();
});

test.after(async () => {
  await daemon.stop();
});

test('shows each team its own models', async () => {
  const options = { method: 'GET', path: '/v1/models', body: '' };
  const list = async (key: string): Promise<unknown> => {
    const answer = JSON.parse((await call(key, options)).text) as { data: { id: string }[] };
    return answer.data.map(({ id }) => id);
  };
  assert.equal(await list(testKeys.wide), ['small@1']);
});

test('ignores the session token of another team', async () => {
  // Symptom: a team goes on in another team's session.
  // Sequence: one team sends a token that was issued to another one.
  // Cause: a valid signature is taken for a right to the session.
  const token = getToken(await call(testKeys.narrow));
  const own = await call(testKeys.narrow, { headers: { 'x-snipehaven-session': token } });
  const other = await call(testKeys.wide, { headers: { 'x-snipehaven-session': token } });
  assert.is(readSession(getToken(own)), readSession(token));
  assert.is(other.status, 200);
  assert.is.not(readSession(getToken(other)), readSession(token));
  const forged = `${token.slice(0, -2)}${token.endsWith('AA') ? 'BB' : 'AA'}`;
  const unsigned = await call(testKeys.narrow, { headers: { 'x-snipehaven-session': forged } });
  assert.is(unsigned.status, 200);
  assert.is.not(readSession(getToken(unsigned)), readSession(token));
});

test("keeps the teams' own session ids apart", async () => {
  const headers = { 'x-session-id': 'shared-name' };
  await call(testKeys.narrow, { headers });
  const view = daemon.core.configuration.getView();
  const getUid = (team: string): string => view.get('Team', team)?.metadata.uid ?? '';
  assert.ok(await daemon.core.pins.find(getUid('narrow'), 'shared-name'));
  assert.is(await daemon.core.pins.find(getUid('wide'), 'shared-name'), undefined);
});

test('takes one idempotency key of two teams for two requests', async () => {
  // Symptom: a team reads the answer to another team's request.
  // Sequence: two teams send the same body under the same key.
  // Cause: claims are named by the key alone.
  const startedBefore = getStarted();
  const headers = { 'idempotency-key': 'same', 'x-snipehaven-non-idempotent': 'true' };
  const first = await call(testKeys.narrow, { headers });
  const second = await call(testKeys.wide, { headers });
  assert.equal([first.status, second.status], [200, 200]);
  assert.is(second.headers['x-snipehaven-replayed'], undefined);
  assert.is(getStarted(), startedBefore + 2);
  await waitUntil('the answer is kept', async () => {
    const again = await call(testKeys.wide, { headers });
    return again.headers['x-snipehaven-replayed'] === 'true';
  });
  assert.is(getStarted(), startedBefore + 2);
});

test('takes both keys of a team while it changes them, and then the new one only', async () => {
  assert.not.ok(await isRefused(testKeys.narrow));
  assert.not.ok(await isRefused(testKeys.narrowNext));
  const team = daemon.core.configuration.getView().get('Team', 'narrow');
  const keys = [{ name: 'next', sha256: hashSecret(testKeys.narrowNext) }];
  await daemon.apply('Team', 'narrow', { ...team?.spec, keys });
  await waitUntil('the old key is refused', () => isRefused(testKeys.narrow));
  assert.not.ok(await isRefused(testKeys.narrowNext));
});

test("refuses a deleted team's key, and a session of the team that comes after it", async () => {
  // Symptom: a team reads sessions of a deleted team whose name it got.
  // Sequence: a team is deleted and created again under its name and key; an old token comes.
  // Cause: sessions belong to a name in place of the one team that had it.
  const token = getToken(await call(testKeys.wide));
  const { spec } = daemon.core.configuration.getView().get('Team', 'wide') ?? {};
  await daemon.core.configuration.remove('Team', 'wide', { clientRequestId: randomUUID() });
  await waitUntil('the key is refused', () => isRefused(testKeys.wide));
  await daemon.apply('Team', 'wide', spec ?? {});
  await waitUntil('the new team is known', async () => !(await isRefused(testKeys.wide)));
  const answer = await call(testKeys.wide, { headers: { 'x-snipehaven-session': token } });
  assert.is.not(readSession(getToken(answer)), readSession(token));
});

test.run();

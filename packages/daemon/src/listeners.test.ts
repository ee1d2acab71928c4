import { readFile } from 'node:fs/promises';
import { request } from 'node:https';
import { connect } from 'node:net';
import { once } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { fileURLToPath } from 'node:url';
import { HttpPeerTransport, PeerUnreachableError } from '@snipehaven/protocol';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createChat, readText } from './testSupport/callerClient.js';
import {
  startTestDaemon,
  testKeys,
  testSecrets,
  type TestDaemon,
} from './testSupport/startTestDaemon.js';

/** Throwaway keys, made for these tests only; TypeScript's build does not copy them. */
const getTlsFile = (name: string): string =>
  fileURLToPath(new URL(`../src/testSupport/tls/${name}.pem`, import.meta.url));

const readTlsFile = (name: string): Promise<string> => readFile(getTlsFile(name), 'utf8');

const listen = `address = "127.0.0.1"
port = 0
tls = { certFile = "${getTlsFile('test.cert')}", keyFile = "${getTlsFile('test.key')}" }`;

const test = suite('listeners');
let daemon: TestDaemon;

test.before(async () => {
  daemon = await startTestDaemon({
    tables: {
      'listen.callers': listen,
      'listen.operators': listen,
      'listen.peers': listen,
      peers: `secret = { env = "SNIPEHAVEN_PEER_SECRET" }
tls = { caFile = "${getTlsFile('test.cert')}" }`,
    },
  });
});

test.after(async () => {
  await daemon.stop();
});

const call = async (
  address: string,
  path: string,
  token: string,
  body?: object,
): Promise<{ status: number | undefined; text: string }> => {
  const sent = request(`https://${address}${path}`, {
    method: body ? 'POST' : 'GET',
    ca: await readTlsFile('test.cert'),
    agent: false,
    headers: { authorization: `Bearer ${token}` },
  });
  sent.end(body && JSON.stringify(body));
  const [answer] = (await once(sent, 'response')) as [IncomingMessage];
  return { status: answer.statusCode, text: await readText(answer) };
};

test('serves callers and operators by TLS', async () => {
  const { callers, operators } = daemon.daemon.addresses;
  const chat = await call(callers, '/v1/chat/completions', testKeys.narrow, createChat());
  assert.is(chat.status, 200);
  const refused = await call(callers, '/v1/models', 'other');
  assert.is(refused.status, 401);
  assert.match(refused.text, '"run":"notRun"');
  assert.is((await call(operators, '/api/status', testSecrets.operatorToken)).status, 200);
});

test('outlives callers that speak no TLS', async () => {
  const [host, port] = daemon.callers.split(':');
  const socket = connect({ host, port: Number(port) });
  socket.on('error', () => undefined);
  socket.write('GET / HTTP/1.1\r\n\r\n');
  socket.resume();
  await once(socket, 'close');
  const chat = await call(daemon.callers, '/v1/chat/completions', testKeys.narrow, createChat());
  assert.is(chat.status, 200);
});

test('lets in peers whose certificate the authority has signed, and no others', async () => {
  // Symptom: somebody between two data centres reads the shared secret of the daemons.
  // Sequence: a peer answers with a certificate of its own, or not by TLS at all.
  // Cause: the certificate of a peer is not checked, or is checked against an IP number it cannot know.
  const { peers } = daemon.daemon.addresses;
  const secret = testSecrets.SNIPEHAVEN_PEER_SECRET;
  const tls = { ca: await readTlsFile('test.cert'), serverName: 'snipehaven' };
  const probe = async (options?: typeof tls): Promise<unknown> => {
    const transport = new HttpPeerTransport(secret, 2_000, options);
    try {
      return await transport.getPeer(peers).timeline.listEvents({ requestId: 'none' });
    } finally {
      await transport.close();
    }
  };
  assert.equal(await probe(tls), { events: [] });
  const wrong = [
    undefined,
    { ...tls, ca: await readTlsFile('other.cert') },
    { ...tls, serverName: 'x' },
  ];
  for (const options of wrong) {
    const error = await probe(options).catch((reason: unknown) => reason);
    assert.instance(error, PeerUnreachableError);
  }
});

test.run();

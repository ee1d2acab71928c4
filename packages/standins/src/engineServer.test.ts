import * as assert from 'uvu/assert';
import { test } from 'uvu';
import { Agent, request } from 'undici';
import { getExpectedAnswer } from './answers.js';
import { EngineCore } from './engine.js';
import { startEngineServer } from './engineServer.js';
import type { EngineOptions } from './engineTypes.js';
import type { StandinServer } from './httpEdge.js';

const VERSION = 'small@1';
const PROMPT = 'a\nb';
const MESSAGES = [
  { role: 'system', content: 'a' },
  { role: 'user', content: [{ type: 'text', text: 'b' }] },
];

interface Setup {
  readonly core: EngineCore;
  readonly server: StandinServer;
  readonly agent: Agent;
}

const withEngine = async (
  options: Partial<EngineOptions>,
  body: (setup: Setup) => Promise<void>,
): Promise<void> => {
  const core = new EngineCore({ versions: [VERSION], tokenMs: 2, ...options });
  const server = await startEngineServer(core, { address: '127.0.3.1' });
  const agent = new Agent();
  try {
    await body({ core, server, agent });
  } finally {
    await agent.destroy();
    await server.stop();
  }
};

type Response = Awaited<ReturnType<typeof request>>;

const post = (
  { server, agent }: Setup,
  path: string,
  body: object,
  headers: Record<string, string> = {},
): Promise<Response> =>
  request(`${server.url}${path}`, {
    dispatcher: agent,
    method: 'POST',
    body: JSON.stringify(body),
    headers,
  });

const get = ({ server, agent }: Setup, path: string): Promise<Response> =>
  request(`${server.url}${path}`, { dispatcher: agent });

const chat = (setup: Setup, streamId: string, fields: object = {}): Promise<Response> =>
  post(
    setup,
    '/v1/chat/completions',
    { model: VERSION, messages: MESSAGES, max_tokens: 5, stream: true, ...fields },
    { 'x-stream-id': streamId, 'x-request-key': `key ${streamId}` },
  );

const getIds = (sse: string): readonly number[] =>
  [...sse.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));

const getText = (sse: string): string =>
  [...sse.matchAll(/^data: (\{.*)$/gm)]
    .map((match) => JSON.parse(match[1] as string).choices[0].delta.content ?? '')
    .join('');

test('streams over SSE, resumes, and answers for the state', () =>
  withEngine({}, async (setup) => {
    const response = await chat(setup, 's/1');
    assert.is(response.statusCode, 200);
    const sse = await response.body.text();
    assert.equal(getIds(sse), [1, 2, 3, 4, 5, 6]);
    assert.is(getText(sse), getExpectedAnswer(PROMPT, VERSION, 5));
    assert.ok(sse.endsWith('\n\ndata: [DONE]\n\n'));
    const rest = await (await get(setup, '/streams/s%2F1?from=4')).body.text();
    assert.equal(getIds(rest), [5, 6]);
    assert.ok(rest.endsWith('data: [DONE]\n\n'));
    const state = await (await get(setup, '/streams/s%2F1/state')).body.json();
    assert.equal(state, { state: 'finished', promptTokens: 1, completionTokens: 5, chunks: 6 });
    assert.is((await get(setup, '/streams/none/state')).statusCode, 404);
    const again = await chat(setup, 's/1');
    assert.is(again.statusCode, 409);
    assert.is(again.headers['x-not-started'], undefined);
    const truth = (await (await get(setup, '/truth')).body.json()) as ReturnType<
      EngineCore['getTruth']
    >;
    assert.is(truth.streams[0]?.requestKey, 'key s/1');
  }));

test('answers whole bodies with usage', () =>
  withEngine({ tokenMs: 0 }, async (setup) => {
    const body = (await (await chat(setup, 's', { stream: false })).body.json()) as {
      choices: { message: { content: string } }[];
      usage: { completion_tokens: number };
    };
    assert.is(body.choices[0]?.message.content, getExpectedAnswer(PROMPT, VERSION, 5));
    assert.is(body.usage.completion_tokens, 5);
  }));

test('refuses with x-not-started and runs nothing', () =>
  withEngine({}, async (setup) => {
    await post(setup, '/control', { engineFaults: { isRefusing: true, refuseStatus: 429 } });
    const refused = await chat(setup, 's');
    assert.is(refused.statusCode, 429);
    assert.is(refused.headers['x-not-started'], 'true');
    assert.is(refused.headers['retry-after'], '1');
    assert.is(setup.core.getTruth().started, 0);
    await post(setup, '/control', { clearFaults: true });
    assert.is((await chat(setup, 's', { model: 'small@9' })).headers['x-not-started'], 'true');
    assert.is((await post(setup, '/control', { nonsense: true })).statusCode, 400);
  }));

test("a waiting stream's headers come with its first event", () =>
  withEngine({ tokenMs: 100_000, maxRunning: 1 }, async (setup) => {
    setup.core.start({ streamId: 'busy', versionId: VERSION, messages: [] });
    let hasHeaders = false;
    const waiting = chat(setup, 's').then((response) => {
      hasHeaders = true;
      return response;
    });
    while (setup.core.getTruth().started < 2) {
      await get(setup, '/truth');
    }
    assert.not.ok(hasHeaders);
    setup.core.setSizes({ tokenMs: 0 });
    setup.core.cancel('busy');
    assert.is((await waiting).statusCode, 200);
  }));

test('a reply lost after the start leaves the run going', () =>
  withEngine({}, async (setup) => {
    // Symptom: the connection breaks before any answer, yet the request runs.
    // Sequence: the engine starts the stream, then the reply is lost.
    // Cause: the fault strikes after the effect; the caller must ask for the state.
    setup.core.gate.setFaults({ loseNextReplies: 1 });
    const error = await chat(setup, 's').catch((thrown: unknown) => thrown);
    assert.instance(error, Error);
    const state = (await (await get(setup, '/streams/s/state')).body.json()) as { state: string };
    assert.ok(['running', 'finished'].includes(state.state));
  }));

test('existing connections go silent for good while new ones work', () =>
  withEngine({ tokenMs: 10 }, async (setup) => {
    // Symptom: a stream stops without end or error; other requests on its connection hang.
    // Sequence: a stream runs, something between the ends loses track of the connection.
    // Cause: nothing passes on the old connection, though the engine runs on.
    const response = await chat(setup, 's', { max_tokens: 30 });
    let received = '';
    let hasEnded = false;
    response.body.on('data', (chunk: Buffer) => {
      received += chunk.toString();
    });
    response.body.on('error', () => {});
    response.body.on('end', () => {
      hasEnded = true;
    });
    while (getIds(received).length < 3) {
      await new Promise((resolve) => {
        response.body.once('data', resolve);
      });
    }
    setup.server.faultConnections('silence');
    const fresh = new Agent();
    const resumed = await request(`${setup.server.url}/streams/s?from=0`, { dispatcher: fresh });
    const sse = await resumed.body.text();
    await fresh.destroy();
    assert.is(getText(sse), getExpectedAnswer(PROMPT, VERSION, 30));
    assert.ok(getIds(received).length < 31);
    assert.not.ok(hasEnded);
  }));

test('orders, load and cache events over HTTP; a cancelled stream ends without [DONE]', () =>
  withEngine({ tokenMs: 20, loadPeriodMs: 0, cacheEventDelayMs: 0 }, async (setup) => {
    const response = await chat(setup, 's', { max_tokens: 1000 });
    const load = (await (await get(setup, '/load')).body.json()) as { running: number };
    assert.is(load.running, 1);
    const page = (await (await get(setup, '/cache-events?after=0')).body.json()) as {
      lastSeq: number;
    };
    assert.is(page.lastSeq, 1);
    const cancelled = await request(`${setup.server.url}/streams/s`, { method: 'DELETE' });
    assert.is(((await cancelled.body.json()) as { state: string }).state, 'cancelled');
    assert.not.ok((await response.body.text()).includes('[DONE]'));
    assert.is((await post(setup, '/orders', { fence: 3, kind: 'setRole' })).statusCode, 200);
    const stale = await post(setup, '/orders', { fence: 2, kind: 'setRole' });
    assert.is(stale.statusCode, 409);
    assert.is(((await stale.body.json()) as { fence: number }).fence, 3);
  }));

test.run();

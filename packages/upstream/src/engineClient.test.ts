import { createServer, type ServerResponse } from 'node:http';
import { once } from 'node:events';
import type { AddressInfo, Socket } from 'node:net';
import { setInvariantsFatal, sleep } from '@snipehaven/common';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { HttpEngineClient } from './engineClient.js';
import {
  StreamUnknownError,
  UpstreamBrokenError,
  UpstreamFailedError,
  UpstreamNotStartedError,
  UpstreamSilentError,
} from './errors.js';
import { HttpServiceClient } from './serviceClient.js';
import type { EngineEvent, EngineRun } from './types.js';
import { UpstreamPools } from './upstreamPools.js';
import { provesNotStarted } from './unknownStream.js';

setInvariantsFatal(true);

const SILENCE_MS = 150;

/** The longest event, with what the buffers of the connection hold. */
const MAX_ENDLESS_BYTES = 17 * 1_048_576;

type Answer = (response: ServerResponse) => void;

/** An upstream that answers each call as the test says, and remembers its connections. */
class FakeUpstream {
  readonly pools = new UpstreamPools();

  readonly engines = new HttpEngineClient(this.pools);

  readonly services = new HttpServiceClient(this.pools);

  readonly sockets = new Set<Socket>();

  /** The connection of the last call. */
  lastSocket: Socket | undefined;

  answer: Answer = () => undefined;

  readonly #server = createServer((request, response) => {
    this.lastSocket = request.socket;
    this.answer(response);
  });

  async start(): Promise<void> {
    this.#server.on('connection', (socket) => {
      this.sockets.add(socket);
    });
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
  }

  get url(): string {
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  get run(): EngineRun {
    return {
      url: this.url,
      streamId: 's1',
      requestKey: 'k1',
      body: '{}',
      priority: 5,
      firstByteTimeoutMs: SILENCE_MS,
      betweenChunksTimeoutMs: SILENCE_MS,
    };
  }

  async stop(): Promise<void> {
    await this.pools.destroy();
    this.#server.closeAllConnections();
    this.#server.close();
  }
}

const test = suite('engineClient');
let upstream: FakeUpstream;

test.before.each(async () => {
  upstream = new FakeUpstream();
  await upstream.start();
});

test.after.each(async () => {
  await upstream.stop();
});

const reply =
  (status: number, body: unknown, headers: Record<string, string> = {}): Answer =>
  (response) => {
    response.writeHead(status, headers).end(JSON.stringify(body));
  };

const stream =
  (text: string, isEnded = true): Answer =>
  (response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.write(text);
    if (isEnded) {
      response.end();
    }
  };

const readAll = async (
  events: AsyncIterable<readonly EngineEvent[]>,
): Promise<readonly EngineEvent[]> => {
  const all: EngineEvent[] = [];
  for await (const batch of events) {
    all.push(...batch);
  }
  return all;
};

const start = (): Promise<readonly EngineEvent[]> =>
  readAll(upstream.engines.start(upstream.run, new AbortController().signal));

const getError = (call: Promise<unknown>): Promise<unknown> =>
  call.then(
    (value) => assert.unreachable(`resolved with ${JSON.stringify(value)}`),
    (error: unknown) => error,
  );

const BOOT_MS = 1_000_000;
const LATE_MS = BOOT_MS + 3_600_000;

test('takes an unknown stream for a proof only within the memory of the engine', () => {
  // Symptom: a request that must not be repeated runs twice, or a run is never billed.
  // Sequence: an engine restarts in mid-run, or forgets an old run, and is asked for it.
  // Cause: its 404 is taken for "never started".
  assert.is(provesNotStarted(BOOT_MS, LATE_MS, LATE_MS + 100), true);
  assert.is(provesNotStarted(BOOT_MS, BOOT_MS - 1, BOOT_MS + 100), false, 'restarted since');
  assert.is(provesNotStarted(BOOT_MS, BOOT_MS + 1_000, BOOT_MS + 1_100), false, 'clocks differ');
  assert.is(provesNotStarted(BOOT_MS, LATE_MS, LATE_MS + 59_000), false, 'may be forgotten');
  assert.is(provesNotStarted(undefined, LATE_MS, LATE_MS + 100), false, 'no word of the engine');
  assert.is(provesNotStarted(BOOT_MS, undefined, LATE_MS), false, 'no time of the hand-over');
});

test('asks for a stream by that rule, over HTTP', async () => {
  const nowMs = Date.now();
  const { engines, url } = upstream;
  upstream.answer = reply(404, { bootMs: nowMs - 60_000 });
  assert.is(await engines.getState(url, 's1', nowMs), undefined);
  assert.is(await engines.cancel(url, 's1', nowMs), undefined);
  assert.instance(await getError(engines.getState(url, 's1')), StreamUnknownError);
  assert.instance(await getError(engines.cancel(url, 's1', nowMs - 61_000)), StreamUnknownError);
  upstream.answer = reply(404, 'a page of something in between');
  assert.instance(await getError(engines.getState(url, 's1', nowMs)), StreamUnknownError);
  upstream.answer = reply(500, {});
  assert.instance(await getError(engines.getState(url, 's1', nowMs)), UpstreamFailedError);
});

test('tells refusals, failures and cut streams apart', async () => {
  upstream.answer = reply(503, {}, { 'x-not-started': 'true', 'retry-after': '2' });
  const refused = await getError(start());
  assert.instance(refused, UpstreamNotStartedError);
  assert.is((refused as UpstreamNotStartedError).retryAfterMs, 2_000);
  upstream.answer = reply(503, {});
  assert.instance(await getError(start()), UpstreamFailedError);
  upstream.answer = stream('id: 1\ndata: {}\n\n');
  assert.instance(await getError(start()), UpstreamBrokenError, 'no end');
  upstream.answer = stream('id: 2\ndata: {}\n\nid: 1\ndata: {}\n\ndata: [DONE]\n\n');
  assert.instance(await getError(start()), UpstreamBrokenError, 'offsets fall');
  upstream.answer = (response) => response.destroy();
  assert.instance(await getError(start()), UpstreamBrokenError, 'no answer');
  upstream.answer = stream('id: 1\ndata: {}\n\ndata: [DONE]\n\n');
  assert.is((await start()).length, 2);
  const { run } = upstream;
  await upstream.stop();
  const later = upstream.engines.start(run, new AbortController().signal);
  assert.instance(await getError(readAll(later)), UpstreamNotStartedError, 'nothing listens');
});

// Guards against a daemon that runs out of memory by one stream without end.
test('gives up a stream whose event has no end', async () => {
  let sentBytes = 0;
  const piece = 'data: no end '.repeat(5_000);
  upstream.answer = (response) => {
    response.writeHead(200);
    const send = (): void => {
      for (let isTaken = true; isTaken && !response.destroyed; sentBytes += piece.length) {
        isTaken = response.write(piece);
      }
    };
    response.on('drain', send);
    send();
  };
  assert.instance(await getError(start()), UpstreamBrokenError);
  assert.ok(sentBytes < MAX_ENDLESS_BYTES, `${sentBytes} bytes`);
});

const readSlowly = async (end: (socket: Socket) => void): Promise<unknown> => {
  const event = `data: ${'x'.repeat(90)}\n\n`;
  const head = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';
  upstream.answer = ({ socket }) => {
    socket?.write(head + event.repeat(1_500));
    setTimeout(() => end(socket as Socket), SILENCE_MS);
  };
  const batches = upstream.engines.start(upstream.run, new AbortController().signal);
  await batches.next();
  await sleep(2 * SILENCE_MS);
  return getError(readAll(batches));
};

// Guards against a process that ends by an assertion of the HTTP client, which was paused.
test('a stream that is read slowly fails alone if its connection ends', async () => {
  assert.instance(await readSlowly((socket) => socket.resetAndDestroy()), UpstreamBrokenError);
  assert.instance(await readSlowly((socket) => socket.end()), UpstreamBrokenError);
});

test('never uses a connection again that was open during a silence', async () => {
  // Symptom: call after call to a healthy upstream times out.
  // Sequence: a kept-alive connection is forgotten by something between the ends; calls go into it.
  // Cause: the pool hands out connections that look open.
  const whole = stream('id: 1\ndata: {}\n\ndata: [DONE]\n\n');
  const call = { method: 'GET', path: '/', requestKey: 'k', timeoutMs: SILENCE_MS };
  const callService = (): Promise<unknown> =>
    upstream.services.call({ ...call, url: upstream.url }, new AbortController().signal);
  const silences: readonly (readonly [Answer, () => Promise<unknown>])[] = [
    [stream('id: 1\ndata: {}\n\n', false), start],
    [() => undefined, start],
    [() => undefined, callService],
    [() => undefined, () => upstream.engines.getLoad(upstream.url)],
  ];
  for (const [silence, act] of silences) {
    upstream.answer = whole;
    await Promise.all([start(), start(), start()]);
    const old = new Set(upstream.sockets);
    upstream.answer = silence;
    assert.instance(await getError(act()), UpstreamSilentError);
    upstream.answer = whole;
    await start();
    assert.not.ok(old.has(upstream.lastSocket as Socket));
  }
});

test.run();

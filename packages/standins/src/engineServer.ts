/** HTTP edge of a model engine. */
import { randomUUID } from 'node:crypto';
import type { ServerResponse } from 'node:http';
import { z } from 'zod';
import type { ChatMessage } from './answers.js';
import { MS_PER_SECOND } from './constants.js';
import { applyCommonControl, engineControlSchema } from './control.js';
import type { EngineCore } from './engine.js';
import type {
  EngineRequest,
  StartedStream,
  StreamAnswer,
  StreamEnd,
  StreamListener,
} from './engineTypes.js';
import { ConnectionLostError, NotFoundError, RunFailedError } from './errors.js';
import {
  breakConnection,
  getHeader,
  getQueryNumber,
  readJson,
  startEdge,
  type EdgeCall,
  type EdgeReply,
  type ListenOptions,
  type StandinServer,
} from './httpEdge.js';
import { pickGiven } from './pickGiven.js';
import { getUsage } from './streamRun.js';

const contentSchema = z.union([
  z.string(),
  z.array(z.looseObject({ type: z.string(), text: z.string().optional() })),
  z.null(),
]);

const chatSchema = z.looseObject({
  model: z.string(),
  messages: z.array(z.looseObject({ role: z.string(), content: contentSchema.optional() })).min(1),
  stream: z.boolean().nullish(),
  max_tokens: z.int().min(1).nullish(),
  max_completion_tokens: z.int().min(1).nullish(),
});

type ChatBody = z.infer<typeof chatSchema>;

const orderSchema = z.object({
  fence: z.int().min(0),
  kind: z.enum(['loadVersion', 'unloadVersion', 'setRole']),
  version: z.string().optional(),
  role: z.string().optional(),
});

const SSE_HEADERS = { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' };
const DONE_EVENT = 'data: [DONE]\n\n';
const STREAMS_PATH = '/streams/';

const toContentText = (content: z.infer<typeof contentSchema> | undefined): string =>
  Array.isArray(content) ? content.map(({ text }) => text ?? '').join('') : (content ?? '');

const toMessages = (body: ChatBody): readonly ChatMessage[] =>
  body.messages.map(({ role, content }) => ({ role, content: toContentText(content) }));

const toRequest = (call: EdgeCall, body: ChatBody): EngineRequest => ({
  streamId: getHeader(call.request, 'x-stream-id') ?? randomUUID(),
  versionId: body.model,
  messages: toMessages(body),
  maxTokens: body.max_completion_tokens ?? body.max_tokens ?? undefined,
  priority: Number(getHeader(call.request, 'x-priority')) || 0,
  requestKey: getHeader(call.request, 'x-request-key'),
});

const streamEnds: Readonly<Record<StreamEnd, (response: ServerResponse) => void>> = {
  done: (response) => response.end(DONE_EVENT),
  cancelled: (response) => response.end(),
  broken: breakConnection,
};

/** Writes a stream's events as SSE. */
const createSseListener = (response: ServerResponse): StreamListener => ({
  onEvents: (events) => {
    let text = '';
    events.forEach(({ id, data }) => {
      text += `id: ${id}\ndata: ${data}\n\n`;
    });
    response.write(text);
  },
  onEnd: (end) => streamEnds[end](response),
});

const toCompletion = (answer: StreamAnswer): unknown => ({
  id: answer.streamId,
  object: 'chat.completion',
  created: Math.floor(answer.createdMs / MS_PER_SECOND),
  model: answer.versionId,
  choices: [
    {
      index: 0,
      message: { role: 'assistant', content: answer.text },
      finish_reason: 'stop',
    },
  ],
  usage: getUsage({ ...answer, producedTokens: answer.completionTokens }),
});

const splitStreamPath = (call: EdgeCall): { streamId: string; action: string } => {
  const [streamId = '', action = ''] = call.path.slice(STREAMS_PATH.length).split('/');
  return { streamId: decodeURIComponent(streamId), action };
};

const runErrors: Readonly<Record<Exclude<StreamEnd, 'done'>, () => Error>> = {
  cancelled: () => new RunFailedError('run was cancelled'),
  broken: () => new ConnectionLostError('run broke'),
};

/** Answers with the whole text once the run has ended. */
const waitForAnswer = (started: StartedStream): Promise<EdgeReply> =>
  new Promise((resolve, reject) => {
    started.subscribe(Infinity, {
      onEvents: () => {},
      onEnd: (end) => {
        if (end === 'done') {
          resolve({ status: 200, body: toCompletion(started.getAnswer()) });
        } else {
          reject(runErrors[end]());
        }
      },
    });
  });

/** Streams over the response until the stream or the connection ends; headers go with the first. */
const stream = (call: EdgeCall, subscribe: (listener: StreamListener) => () => void): void => {
  const { response } = call;
  const listener = createSseListener(response);
  response.statusCode = 200;
  Object.entries(SSE_HEADERS).forEach(([name, value]) => response.setHeader(name, value));
  const unsubscribe = subscribe(listener);
  response.on('close', unsubscribe);
};

const handleChat = async (core: EngineCore, call: EdgeCall): Promise<EdgeReply | undefined> => {
  const body = await readJson(call, chatSchema);
  const request = toRequest(call, body);
  const started = await core.gate.run(call.client, () => core.start(request));
  if (!body.stream) {
    return waitForAnswer(started);
  }
  stream(call, (listener) => started.subscribe(0, listener));
  return undefined;
};

const handleGetStream = async (
  core: EngineCore,
  call: EdgeCall,
): Promise<EdgeReply | undefined> => {
  const { streamId, action } = splitStreamPath(call);
  if (action === 'state') {
    const body = await core.gate.run(call.client, () => core.getState(streamId));
    return { status: 200, body };
  }
  if (action !== '') {
    throw new NotFoundError(`no ${call.path}`);
  }
  const fromId = getQueryNumber(call, 'from', 0);
  await core.gate.run(call.client, () => core.getState(streamId));
  stream(call, (listener) => core.resume(streamId, fromId, listener));
  return undefined;
};

const handleControl = async (
  core: EngineCore,
  call: EdgeCall,
  server: StandinServer,
): Promise<EdgeReply> => {
  const control = await readJson(call, engineControlSchema);
  if (control.clearFaults) {
    core.clearFaults();
  }
  core.setFaults(pickGiven(control.engineFaults ?? {}));
  core.setSizes(pickGiven(control.sizes ?? {}));
  if (control.leaving !== undefined) {
    core.setLeaving(control.leaving);
  }
  if (control.crashStreams) {
    core.crashStreams();
  }
  if (control.restart) {
    core.restart();
  }
  const { clearFaults, faults } = control;
  const connections = control.restart ? 'break' : control.connections;
  applyCommonControl({ clearFaults, faults, connections }, core.gate, server, call);
  return { status: 200, body: {} };
};

/** Serves an engine over HTTP. */
export const startEngineServer = async (
  core: EngineCore,
  options?: ListenOptions,
): Promise<StandinServer> => {
  const pass = <Result>(call: EdgeCall, perform: () => Result): Promise<Result> =>
    core.gate.run(call.client, perform);
  const server: StandinServer = await startEdge(
    {
      'POST /v1/chat/completions': (call) => handleChat(core, call),
      'GET /streams/*': (call) => handleGetStream(core, call),
      'DELETE /streams/*': async (call) => {
        const { streamId } = splitStreamPath(call);
        return { status: 200, body: await pass(call, () => core.cancel(streamId)) };
      },
      'GET /load': async (call) => ({
        status: 200,
        body: await pass(call, () => core.getLoad()),
      }),
      'GET /cache-events': async (call) => {
        const afterSeq = getQueryNumber(call, 'after', 0);
        return { status: 200, body: await pass(call, () => core.listCacheEvents(afterSeq)) };
      },
      'POST /orders': async (call) => {
        const order = await readJson(call, orderSchema);
        await pass(call, () => core.order(order));
        return { status: 200, body: {} };
      },
      'POST /control': (call) => handleControl(core, call, server),
      'GET /truth': async (call) => {
        const hasStreams = call.query.get('streams') !== 'false';
        return { status: 200, body: core.getTruth(hasStreams) };
      },
    },
    options,
  );
  const stop = async (): Promise<void> => {
    core.stop();
    await server.stop();
  };
  return { ...server, stop };
};

/** The API of callers: chat completions, models, and plain services. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { getErrorMessage, type Logger } from '@snipehaven/common';
import type { ConfigurationStore, SafeMoves } from '@snipehaven/configuration';
import {
  listAllowedVersions,
  Refusal,
  restoreChatBody,
  RunTracker,
  type CallerIdentity,
  type RequestRouter,
} from '@snipehaven/routing';
import { HttpAnswerSink } from './httpAnswerSink.js';
import { parseJsonBody, readBody, type BodyBounds } from './readBody.js';
import { readOptions, type OptionDefaults } from './readOptions.js';

export interface CallerApiOptions {
  readonly router: RequestRouter;
  readonly configuration: ConfigurationStore;
  readonly safeMoves: SafeMoves;
  readonly isServing: () => boolean;
  readonly bounds: BodyBounds & OptionDefaults & { readonly readTimeoutMs: number };
  readonly logger: Logger;
}

interface CallerCall {
  readonly request: IncomingMessage;
  readonly sink: HttpAnswerSink;
  readonly identity: CallerIdentity;
  readonly url: URL;
}

type CallHandler = (call: CallerCall, options: CallerApiOptions) => Promise<void>;

const SERVICES_PREFIX = '/services/';
const CALLERS_ORIGIN = 'http://callers';
const BEARER = /^Bearer (.+)$/;

const refuse = (kind: ConstructorParameters<typeof Refusal>[0], message: string): Refusal =>
  new Refusal(kind, message, new RunTracker());

const handleChat: CallHandler = async ({ request, sink, identity }, options) => {
  const requestOptions = readOptions(request.headers, identity.team.spec.priority, options.bounds);
  const body = restoreChatBody(parseJsonBody(await readBody(request, options.bounds)));
  const requestId = options.router.createRequestId();
  await options.router.executeChat({ requestId, identity, body, options: requestOptions }, sink);
};

const handleModels: CallHandler = async ({ sink, identity }, options) => {
  const versions = listAllowedVersions(options.configuration.getView(), identity.team)
    .filter(({ metadata }) => !options.safeMoves.isVersionBlocked(metadata.name))
    .map(({ metadata }) => ({
      id: metadata.name,
      object: 'model',
      created: Math.floor(metadata.createdAtMs / 1_000),
      owned_by: 'snipehaven',
    }));
  sink.send(200, 'application/json', JSON.stringify({ object: 'list', data: versions }), {});
};

const handleService: CallHandler = async ({ request, sink, identity, url }, options) => {
  const requestOptions = readOptions(request.headers, identity.team.spec.priority, options.bounds);
  const rest = url.pathname.slice(SERVICES_PREFIX.length);
  const slash = rest.indexOf('/');
  const service = slash < 0 ? rest : rest.slice(0, slash);
  const path = `${slash < 0 ? '/' : rest.slice(slash)}${url.search}`;
  const body = await readBody(request, options.bounds);
  const contentType = request.headers['content-type'];
  await options.router.executeService(
    {
      requestId: options.router.createRequestId(),
      identity,
      service,
      method: request.method ?? 'GET',
      path,
      body,
      options: requestOptions,
      ...(contentType === undefined ? {} : { contentType }),
    },
    sink,
  );
};

const routes: Readonly<Record<string, CallHandler>> = {
  'POST /v1/chat/completions': handleChat,
  'GET /v1/models': handleModels,
};

const findHandler = (method: string, path: string): CallHandler | undefined =>
  path.startsWith(SERVICES_PREFIX) ? handleService : routes[`${method} ${path}`];

const identify = (request: IncomingMessage, router: RequestRouter): CallerIdentity => {
  const key = BEARER.exec(request.headers.authorization ?? '')?.[1];
  const identity = key === undefined ? undefined : router.findCaller(key);
  if (identity === undefined) {
    throw refuse('unauthorized', 'the key is missing or not known');
  }
  return identity;
};

/** Not every text that HTTP allows as a target is a path: `//` is not. */
const restoreUrl = (request: IncomingMessage): URL => {
  const target = request.url ?? '/';
  if (!URL.canParse(target, CALLERS_ORIGIN)) {
    throw refuse('invalidRequest', 'the path is not valid');
  }
  return new URL(target, CALLERS_ORIGIN);
};

const handle = async (
  request: IncomingMessage,
  sink: HttpAnswerSink,
  options: CallerApiOptions,
): Promise<void> => {
  if (!options.isServing()) {
    throw refuse('notReady', 'the daemon has no configuration yet or is shutting down');
  }
  const identity = identify(request, options.router);
  const url = restoreUrl(request);
  const handler = findHandler(request.method ?? 'GET', url.pathname);
  if (handler === undefined) {
    throw refuse('unknownPath', `${request.method} ${url.pathname} does not exist`);
  }
  await handler({ request, sink, identity, url }, options);
};

/** Creates the request listener of the callers' API. */
export const createCallerHandler =
  (options: CallerApiOptions) =>
  (request: IncomingMessage, response: ServerResponse): void => {
    const sink = new HttpAnswerSink(request, response, options.bounds.readTimeoutMs);
    handle(request, sink, options).catch((error: unknown) => {
      const refusal = error instanceof Refusal ? error : refuse('upstreamFailed', 'internal error');
      if (refusal !== error) {
        options.logger.error({ error: getErrorMessage(error) }, 'a request failed');
      }
      sink.refuse(refusal, { connection: 'close' });
    });
  };

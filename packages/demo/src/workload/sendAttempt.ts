/** Sends one attempt of a request, chat by the `openai` client. */
import OpenAI, { APIConnectionError, APIError } from 'openai';
import { request as sendRequest } from 'undici';
import type { RunningDaemon } from '../deployment.js';
import type { AttemptEnd, SeenAnswer } from './callRecord.js';
import type { WorkItem } from './workItems.js';

export interface AttemptInput {
  readonly item: WorkItem;
  readonly daemon: RunningDaemon;
  readonly sessionToken: string | undefined;
  readonly timeoutMs: number;
}

interface ErrorBody {
  readonly code?: string;
  readonly run?: string;
  readonly retryAfterMs?: number;
}

const DEFAULT_RETRY_AFTER_MS = 200;

const getHeaders = (input: AttemptInput): Record<string, string> => {
  const { item, sessionToken } = input;
  return {
    'x-snipehaven-task': item.task,
    'idempotency-key': item.key,
    ...(item.isIdempotent ? {} : { 'x-snipehaven-non-idempotent': 'true' }),
    ...(item.hasOwnSessionId && item.session ? { 'x-session-id': item.session } : {}),
    ...(sessionToken === undefined ? {} : { 'x-snipehaven-session': sessionToken }),
  };
};

const toRefusal = (status: number, body: ErrorBody): AttemptEnd => ({
  kind: 'refused',
  status,
  code: body.code ?? 'unknown',
  verdict: body.run ?? 'unknown',
  retryAfterMs: body.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS,
});

const toEnd = (error: unknown): AttemptEnd => {
  const isRefusal = error instanceof APIError && !(error instanceof APIConnectionError);
  if (isRefusal && error.status !== undefined) {
    return toRefusal(error.status, error.error as ErrorBody);
  }
  return { kind: 'broken', reason: error instanceof Error ? error.message : String(error) };
};

/** The headers of an answer, whichever library made them. */
interface AnswerHeaders {
  get(name: string): string | null;
}

const getOptional = (headers: AnswerHeaders, name: string): string | undefined =>
  headers.get(name) ?? undefined;

const toAnswer = (
  headers: AnswerHeaders,
  text: string,
  usage: OpenAI.CompletionUsage | null | undefined,
): SeenAnswer => {
  const sessionToken = getOptional(headers, 'x-snipehaven-session');
  const movedBecause = getOptional(headers, 'x-snipehaven-session-moved');
  return {
    text,
    version: headers.get('x-snipehaven-version') ?? '',
    promptTokens: usage?.prompt_tokens ?? 0,
    completionTokens: usage?.completion_tokens ?? 0,
    plan: headers.get('x-snipehaven-plan') ?? '',
    isReplayed: headers.get('x-snipehaven-replayed') === 'true',
    ...(sessionToken === undefined ? {} : { sessionToken }),
    ...(movedBecause === undefined ? {} : { movedBecause }),
  };
};

const createClient = (input: AttemptInput): OpenAI =>
  new OpenAI({
    apiKey: `${input.item.team}-key`,
    baseURL: `${input.daemon.callersUrl}/v1`,
    maxRetries: 0,
    timeout: input.timeoutMs,
  });

const toBody = (
  item: WorkItem,
): Pick<OpenAI.ChatCompletionCreateParams, 'model' | 'messages' | 'max_tokens'> => ({
  model: item.model ?? 'auto',
  messages: [{ role: 'user', content: item.prompt }],
  max_tokens: item.maxTokens,
});

const sendChat = async (input: AttemptInput): Promise<AttemptEnd> => {
  const { data, response } = await createClient(input)
    .chat.completions.create(toBody(input.item), { headers: getHeaders(input) })
    .withResponse();
  const text = data.choices[0]?.message.content ?? '';
  const answer = toAnswer(response.headers, text, data.usage);
  return { kind: 'answered', answer: { ...answer, version: data.model } };
};

const sendStream = async (input: AttemptInput): Promise<AttemptEnd> => {
  const { data, response } = await createClient(input)
    .chat.completions.create(
      { ...toBody(input.item), stream: true, stream_options: { include_usage: true } },
      { headers: getHeaders(input) },
    )
    .withResponse();
  let text = '';
  let usage: OpenAI.CompletionUsage | null | undefined;
  let hasFinished = false;
  for await (const chunk of data) {
    const choice = chunk.choices[0];
    text += choice?.delta.content ?? '';
    usage = chunk.usage ?? usage;
    hasFinished = hasFinished || typeof choice?.finish_reason === 'string';
  }
  if (!hasFinished) {
    return { kind: 'broken', reason: 'the stream ended before its finish reason' };
  }
  return { kind: 'answered', answer: toAnswer(response.headers, text, usage) };
};

const sendService = async (input: AttemptInput): Promise<AttemptEnd> => {
  const { item, daemon, timeoutMs } = input;
  const { service = '', method = 'GET', path = '/' } = item.service ?? {};
  const response = await sendRequest(`${daemon.callersUrl}/services/${service}${path}`, {
    method,
    headers: {
      ...getHeaders(input),
      authorization: `Bearer ${item.team}-key`,
      'content-type': 'application/json',
    },
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
    ...(method === 'POST' ? { body: JSON.stringify({ text: item.prompt }) } : {}),
  });
  const text = await response.body.text();
  if (response.statusCode >= 400) {
    const { error } = JSON.parse(text) as { readonly error: ErrorBody };
    return toRefusal(response.statusCode, error);
  }
  const isReplayed = response.headers['x-snipehaven-replayed'] === 'true';
  const counts = { promptTokens: 0, completionTokens: 1 };
  const version = `service:${service}`;
  return { kind: 'answered', answer: { text, version, plan: '', isReplayed, ...counts } };
};

const senders = { chat: sendChat, chatStream: sendStream, service: sendService } as const;

/** Sends one attempt; every failure is an end, nothing throws. */
export const sendAttempt = async (input: AttemptInput): Promise<AttemptEnd> => {
  try {
    return await senders[input.item.transport](input);
  } catch (error) {
    return toEnd(error);
  }
};

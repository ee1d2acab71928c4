/** Writes complete chat answers to the caller, streamed or as one body. */
import type { StoredAnswer } from '@snipehaven/claims';
import { DONE_DATA } from '@snipehaven/upstream';
import { toCompletionBody, toCompletionChunks, type CompletionFields } from './answerAssembler.js';
import { REPLAYED_HEADER } from './constants.js';
import { StreamingConsumer, type BufferedConsumer } from './eventConsumers.js';
import type { StepAnswer } from './stepRunner.js';
import type { AnswerHeaders, AnswerSink, ChatRequest } from './types.js';

/** The fields from which OpenAI responses are built. */
export const toCompletionFields = (requestId: string, answer: StepAnswer): CompletionFields => {
  const { version, text, finishReason, usage } = answer;
  return { requestId, version, text, finishReason, usage };
};

/** Whether the caller asked for token usage at the end of its stream. */
export const includesUsage = ({ body }: ChatRequest): boolean =>
  body.stream_options?.include_usage === true;

/** The fields read back from a stored answer, in the format of `toCompletionBody`. */
interface StoredCompletion {
  readonly model: string;
  readonly choices: readonly [
    { readonly message: { readonly content: string }; readonly finish_reason: string },
  ];
  readonly usage: { readonly prompt_tokens: number; readonly completion_tokens: number };
}

const parseStoredCompletion = (requestId: string, body: string): CompletionFields => {
  const { model, choices, usage } = JSON.parse(body) as StoredCompletion;
  return {
    requestId,
    version: model,
    text: choices[0].message.content,
    finishReason: choices[0].finish_reason,
    usage: { promptTokens: usage.prompt_tokens, completionTokens: usage.completion_tokens },
  };
};

const writeStream = async (
  sink: AnswerSink,
  request: ChatRequest,
  fields: CompletionFields,
  headers: AnswerHeaders,
): Promise<void> => {
  sink.begin(headers);
  const chunks = toCompletionChunks(fields, includesUsage(request));
  await sink.writeEvents([...chunks, DONE_DATA]);
  sink.end();
};

/**
 * Delivers an answer: terminates a stream in progress, or sends all of an answer that was buffered.
 */
export const deliverAnswer = async (
  sink: AnswerSink,
  request: ChatRequest,
  answer: StepAnswer,
  consumer: StreamingConsumer | BufferedConsumer,
  headers: AnswerHeaders,
): Promise<void> => {
  if (consumer instanceof StreamingConsumer) {
    consumer.begin();
    await sink.writeEvents([DONE_DATA]);
    sink.end();
    return;
  }
  const fields = toCompletionFields(request.requestId, answer);
  if (request.body.stream === true) {
    await writeStream(sink, request, fields, headers);
    return;
  }
  sink.send(200, 'application/json', toCompletionBody(fields), headers);
};

/** Sends a retry the answer stored for its idempotency key. */
export const replayAnswer = async (
  sink: AnswerSink,
  request: ChatRequest,
  answer: StoredAnswer,
  headers: AnswerHeaders,
): Promise<void> => {
  const replayed = { ...headers, [REPLAYED_HEADER]: 'true' };
  if (request.body.stream !== true) {
    sink.send(answer.status, answer.contentType, answer.body, replayed);
    return;
  }
  await writeStream(sink, request, parseStoredCompletion(request.requestId, answer.body), replayed);
};

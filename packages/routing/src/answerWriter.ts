/** Writes the whole answer of a chat request to its caller, streamed or not. */
import type { StoredAnswer } from '@snipehaven/claims';
import { DONE_DATA } from '@snipehaven/upstream';
import { toCompletionBody, toCompletionChunks, type CompletionFields } from './answerAssembler.js';
import { REPLAYED_HEADER } from './constants.js';
import { LiveConsumer, type HeldConsumer } from './eventConsumers.js';
import type { StepAnswer } from './stepRunner.js';
import type { AnswerHeaders, AnswerSink, ChatRequest } from './types.js';

/** What an answer consists of, for OpenAI's forms. */
export const toCompletionFields = (requestId: string, answer: StepAnswer): CompletionFields => {
  const { version, text, finishReason, usage } = answer;
  return { requestId, version, text, finishReason, usage };
};

/** Whether the caller asked for the usage at the end of its stream. */
export const includesUsage = ({ body }: ChatRequest): boolean =>
  body.stream_options?.include_usage === true;

/** The parts of a kept answer, as `toCompletionBody` made it. */
interface KeptCompletion {
  readonly model: string;
  readonly choices: readonly [
    { readonly message: { readonly content: string }; readonly finish_reason: string },
  ];
  readonly usage: { readonly prompt_tokens: number; readonly completion_tokens: number };
}

const restoreFields = (requestId: string, body: string): CompletionFields => {
  const { model, choices, usage } = JSON.parse(body) as KeptCompletion;
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

/** Releases an answer: the end of a stream under way, or all of an answer that was held back. */
export const releaseAnswer = async (
  sink: AnswerSink,
  request: ChatRequest,
  answer: StepAnswer,
  consumer: LiveConsumer | HeldConsumer,
  headers: AnswerHeaders,
): Promise<void> => {
  if (consumer instanceof LiveConsumer) {
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

/** Gives a retry the answer that was kept for it. */
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
  await writeStream(sink, request, restoreFields(request.requestId, answer.body), replayed);
};

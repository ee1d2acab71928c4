/** Validates chat completion bodies. */
import { z } from 'zod';
import { CHARS_PER_TOKEN, DEFAULT_COMPLETION_TOKENS } from './constants.js';
import { Refusal } from './refusal.js';
import { RunTracker } from './runTracker.js';

const textPartSchema = z.looseObject({ type: z.string(), text: z.string().optional() });

const messageSchema = z.looseObject({
  role: z.enum(['system', 'developer', 'user', 'assistant', 'tool', 'function']),
  content: z.union([z.string(), z.array(textPartSchema), z.null()]).optional(),
});

const chatBodySchema = z.looseObject({
  model: z.string().min(1).max(200),
  messages: z.array(messageSchema).min(1).max(2_000),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().nullish() }).nullish(),
  max_tokens: z.int().positive().nullish(),
  max_completion_tokens: z.int().positive().nullish(),
  n: z.literal(1, 'only one choice is supported').nullish(),
});

/** A validated OpenAI chat completion body; unknown fields are passed to the engine. */
export type ChatBody = z.infer<typeof chatBodySchema>;

/** Validates a chat body; throws a refusal that names the path and the rule violated. */
export const restoreChatBody = (input: unknown): ChatBody => {
  const result = chatBodySchema.safeParse(input);
  if (result.success) {
    return result.data;
  }
  const [issue] = result.error.issues;
  const message = issue ? `${issue.path.join('.') || 'body'}: ${issue.message}` : 'invalid body';
  throw new Refusal('invalidRequest', message, new RunTracker());
};

const getContentText = (content: ChatBody['messages'][number]['content']): string => {
  if (typeof content === 'string') {
    return content;
  }
  return (content ?? []).map((part) => part.text ?? '').join('');
};

/** All message contents, joined in the same way as in the engines' prefix caches. */
export const getPromptText = (body: ChatBody): string =>
  body.messages.map((message) => getContentText(message.content)).join('\n');

/** A rough prompt token count for planning; billing uses the engine's count. */
export const estimatePromptTokens = (promptText: string): number =>
  Math.max(1, Math.ceil(promptText.length / CHARS_PER_TOKEN));

/** The number of completion tokens that planning assumes. */
export const estimateCompletionTokens = (body: ChatBody): number =>
  Math.min(
    DEFAULT_COMPLETION_TOKENS,
    body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_COMPLETION_TOKENS,
  );

/** The body sent to the engine: always streamed, so that the run can be resumed, and with usage. */
export const toEngineBody = (body: ChatBody, version: string): string =>
  JSON.stringify({
    ...body,
    model: version,
    stream: true,
    stream_options: { ...body.stream_options, include_usage: true },
  });

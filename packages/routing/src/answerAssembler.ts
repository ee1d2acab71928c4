/** Puts an answer together from an engine's chunks, and finds its usage. */
import { UpstreamBrokenError } from '@snipehaven/upstream';

/** The parts of a chunk that matter; all may be missing, and further ones are passed on unread. */
interface Chunk {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: unknown };
    readonly finish_reason?: unknown;
  }[];
  readonly usage?: { readonly prompt_tokens?: unknown; readonly completion_tokens?: unknown };
}

const toCount = (value: unknown): number => {
  if (typeof value !== 'number' || !Number.isFinite(value) || value < 0) {
    throw new UpstreamBrokenError(`a token count is ${JSON.stringify(value)}`);
  }
  return value;
};

/** Chunks come by the ten thousand a second: a schema library costs more than the rest of the path. */
const restoreChunk = (data: string): Chunk => {
  try {
    const chunk: unknown = JSON.parse(data);
    if (typeof chunk === 'object' && chunk !== null) {
      return chunk;
    }
  } catch (error) {
    throw new UpstreamBrokenError('a chunk is not JSON', { cause: error });
  }
  throw new UpstreamBrokenError('a chunk is not an object');
};

/** Token counts by the engine's own account. */
export interface TokenUsage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** Chunks with usage are rare; the others need no parsing on their way to a streaming caller. */
const USAGE_MARK = '"usage":{';

export class AnswerAssembler {
  #text = '';

  #finishReason: string | undefined;

  #usage: TokenUsage | undefined;

  readonly #keepsText: boolean;

  /** Without text only usage is looked for, which is cheaper. */
  constructor(keepsText: boolean) {
    this.#keepsText = keepsText;
  }

  get text(): string {
    return this.#text;
  }

  get usage(): TokenUsage | undefined {
    return this.#usage;
  }

  get finishReason(): string | undefined {
    return this.#finishReason;
  }

  /** Takes in a chunk; true when it carries the usage. */
  add(data: string): boolean {
    const hasUsage = data.includes(USAGE_MARK);
    if (this.#keepsText || hasUsage) {
      this.#parse(data);
    }
    return hasUsage;
  }

  #parse(data: string): void {
    const { choices, usage } = restoreChunk(data);
    const choice = choices?.[0];
    const content = choice?.delta?.content;
    this.#text += typeof content === 'string' ? content : '';
    if (typeof choice?.finish_reason === 'string') {
      this.#finishReason = choice.finish_reason;
    }
    if (usage) {
      this.#usage = {
        promptTokens: toCount(usage.prompt_tokens),
        completionTokens: toCount(usage.completion_tokens),
      };
    }
  }
}

/** What a whole answer is made from. */
export interface CompletionFields {
  readonly requestId: string;
  readonly version: string;
  readonly text: string;
  readonly finishReason: string | undefined;
  readonly usage: TokenUsage;
}

/** OpenAI's body of a whole answer. */
export const toCompletionBody = (fields: CompletionFields): string =>
  JSON.stringify({
    id: `chatcmpl-${fields.requestId}`,
    object: 'chat.completion',
    created: Math.floor(Date.now() / 1_000),
    model: fields.version,
    choices: [
      {
        index: 0,
        message: { role: 'assistant', content: fields.text },
        finish_reason: fields.finishReason ?? 'stop',
      },
    ],
    usage: {
      prompt_tokens: fields.usage.promptTokens,
      completion_tokens: fields.usage.completionTokens,
      total_tokens: fields.usage.promptTokens + fields.usage.completionTokens,
    },
  });

/** OpenAI's chunks of an answer that was held back until it was judged. */
export const toCompletionChunks = (
  fields: CompletionFields,
  includesUsage: boolean,
): readonly string[] => {
  const base = {
    id: `chatcmpl-${fields.requestId}`,
    object: 'chat.completion.chunk',
    created: Math.floor(Date.now() / 1_000),
    model: fields.version,
  };
  const delta = { role: 'assistant', content: fields.text };
  const chunks: object[] = [
    { ...base, choices: [{ index: 0, delta, finish_reason: null }] },
    { ...base, choices: [{ index: 0, delta: {}, finish_reason: fields.finishReason ?? 'stop' }] },
  ];
  if (includesUsage) {
    const { promptTokens, completionTokens } = fields.usage;
    const usage = {
      prompt_tokens: promptTokens,
      completion_tokens: completionTokens,
      total_tokens: promptTokens + completionTokens,
    };
    chunks.push({ ...base, choices: [], usage });
  }
  return chunks.map((chunk) => JSON.stringify(chunk));
};

/** Assembles an answer from an engine's stream chunks and extracts its token usage. */
import { UpstreamBrokenError } from '@snipehaven/upstream';

/** The fields of a chunk that are read here. All are optional; other fields pass through unread. */
interface Chunk {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: unknown };
    readonly finish_reason?: unknown;
  }[];
  readonly usage?: { readonly prompt_tokens?: unknown; readonly completion_tokens?: unknown };
}

const parseTokenCount = (value: unknown): number => {
  if (typeof value !== 'number' || !Number.isFinite(value) || value < 0) {
    throw new UpstreamBrokenError(`invalid token count: ${JSON.stringify(value)}`);
  }
  return value;
};

/**
 * Hand-written instead of a schema: at tens of thousands of chunks per second, a schema library
 * costs more than the rest of the request path.
 */
const parseChunk = (data: string): Chunk => {
  try {
    const chunk: unknown = JSON.parse(data);
    if (typeof chunk === 'object' && chunk !== null) {
      return chunk;
    }
  } catch (error) {
    throw new UpstreamBrokenError('stream chunk is not valid JSON', { cause: error });
  }
  throw new UpstreamBrokenError('stream chunk is not a JSON object');
};

/** Token counts as reported by the engine. */
export interface TokenUsage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** Few chunks carry usage; the others are forwarded to a streaming caller without being parsed. */
const USAGE_MARKER = '"usage":{';

export class AnswerAssembler {
  #text = '';

  #finishReason: string | undefined;

  #usage: TokenUsage | undefined;

  readonly #keepsText: boolean;

  /** With `keepsText` false only chunks with usage are parsed, which is cheaper. */
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

  /** Adds a chunk; returns true if it carries the usage. */
  add(data: string): boolean {
    const hasUsage = data.includes(USAGE_MARKER);
    if (this.#keepsText || hasUsage) {
      this.#parse(data);
    }
    return hasUsage;
  }

  #parse(data: string): void {
    const { choices, usage } = parseChunk(data);
    const choice = choices?.[0];
    const content = choice?.delta?.content;
    this.#text += typeof content === 'string' ? content : '';
    if (typeof choice?.finish_reason === 'string') {
      this.#finishReason = choice.finish_reason;
    }
    if (usage) {
      this.#usage = {
        promptTokens: parseTokenCount(usage.prompt_tokens),
        completionTokens: parseTokenCount(usage.completion_tokens),
      };
    }
  }
}

/** The parts of a complete answer. */
export interface CompletionFields {
  readonly requestId: string;
  readonly version: string;
  readonly text: string;
  readonly finishReason: string | undefined;
  readonly usage: TokenUsage;
}

/** Serializes a complete answer as an OpenAI chat completion. */
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

/** Serializes an answer that was buffered until it was rated as OpenAI chat completion chunks. */
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

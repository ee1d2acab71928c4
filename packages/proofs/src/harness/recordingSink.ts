/** Takes one answer as a caller would, and tells how it ended. */
import type { AttemptEnd, SeenAnswer } from '@snipehaven/demo';
import {
  REPLAYED_HEADER,
  SESSION_HEADER,
  SESSION_MOVED_HEADER,
  VERSION_HEADER,
  type AnswerHeaders,
  type AnswerSink,
  type Refusal,
} from '@snipehaven/routing';
import { DONE_DATA } from '@snipehaven/upstream';

interface Completion {
  readonly model: string;
  readonly choices: readonly { readonly message: { readonly content: string } }[];
  readonly usage: { readonly prompt_tokens: number; readonly completion_tokens: number };
}

interface Chunk {
  readonly choices: readonly { readonly delta?: { readonly content?: string } }[];
  readonly usage?: Completion['usage'] | null;
}

const readHeaders = (
  headers: AnswerHeaders,
): Pick<SeenAnswer, 'isReplayed' | 'plan'> & {
  sessionToken?: string;
  movedBecause?: string;
} => {
  const sessionToken = headers[SESSION_HEADER];
  const movedBecause = headers[SESSION_MOVED_HEADER];
  return {
    isReplayed: headers[REPLAYED_HEADER] === 'true',
    plan: '',
    ...(sessionToken === undefined ? {} : { sessionToken }),
    ...(movedBecause === undefined ? {} : { movedBecause }),
  };
};

export class RecordingSink implements AnswerSink {
  readonly ended: Promise<AttemptEnd>;

  readonly #gone = new AbortController();

  #resolve: (end: AttemptEnd) => void = () => undefined;

  #headers: AnswerHeaders | undefined;

  #data: string[] = [];

  constructor() {
    this.ended = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  get callerGone(): AbortSignal {
    return this.#gone.signal;
  }

  /** The connection breaks: the caller sees it, the daemon too if it lives. */
  break(reason: string): void {
    this.#resolve({ kind: 'broken', reason });
    this.#gone.abort();
  }

  begin(headers: AnswerHeaders): void {
    this.#headers = headers;
  }

  writeEvents(data: readonly string[]): undefined {
    this.#data.push(...data);
  }

  end(): void {
    this.#resolve(this.#readStream());
  }

  send(
    status: number,
    contentType: string,
    body: string | Uint8Array,
    headers: AnswerHeaders,
  ): void {
    const text = Buffer.from(body).toString('utf8');
    const isChat = headers[VERSION_HEADER] !== undefined || text.startsWith('{"id":"chatcmpl-');
    this.#resolve({
      kind: 'answered',
      answer: isChat
        ? RecordingSink.#readCompletion(text, headers)
        : RecordingSink.#readService(text, headers),
    });
  }

  refuse(refusal: Refusal): void {
    if (this.#headers !== undefined) {
      this.#resolve({ kind: 'broken', reason: refusal.message });
      return;
    }
    const { status, code, verdict, retryAfterMs = 0 } = refusal;
    this.#resolve({ kind: 'refused', status, code, verdict, retryAfterMs });
  }

  static #readCompletion(text: string, headers: AnswerHeaders): SeenAnswer {
    const body = JSON.parse(text) as Completion;
    return {
      ...readHeaders(headers),
      text: body.choices[0]?.message.content ?? '',
      version: body.model,
      promptTokens: body.usage.prompt_tokens,
      completionTokens: body.usage.completion_tokens,
    };
  }

  static #readService(text: string, headers: AnswerHeaders): SeenAnswer {
    const counts = { promptTokens: 0, completionTokens: 1 };
    return { ...readHeaders(headers), text, version: 'service', ...counts };
  }

  #readStream(): AttemptEnd {
    if (this.#data.at(-1) !== DONE_DATA) {
      return { kind: 'broken', reason: 'a clean end without the final mark' };
    }
    const chunks = this.#data.slice(0, -1).map((data) => JSON.parse(data) as Chunk);
    const usage = chunks.findLast((chunk) => chunk.usage)?.usage;
    const headers = this.#headers ?? {};
    const model = (chunks[0] as unknown as { model?: string }).model ?? '';
    return {
      kind: 'answered',
      answer: {
        ...readHeaders(headers),
        text: chunks.map((chunk) => chunk.choices[0]?.delta?.content ?? '').join(''),
        version: headers[VERSION_HEADER] ?? model,
        promptTokens: usage?.prompt_tokens ?? 0,
        completionTokens: usage?.completion_tokens ?? 0,
      },
    };
  }
}

/** One HTTP call to a platform service, its failures turned into the platform's errors. */
import { Agent, request, type Dispatcher } from 'undici';
import { getErrorMessage, isNotSent } from '@snipehaven/common';
import { KEEP_ALIVE_MS, MAX_CONNECTIONS, MS_PER_SECOND } from './constants.js';
import { PlatformOutcomeUnknownError, PlatformRefusedError } from './errors.js';

export interface PlatformCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly body?: string | Uint8Array;
  readonly timeoutMs?: number;
}

export interface PlatformAnswer {
  readonly status: number;
  readonly bytes: Uint8Array;
}

const HTTP_NO_CONTENT = 204;
const HTTP_NOT_FOUND = 404;
const HTTP_OK_LIMIT = 300;
const ABSENCE_METHODS: ReadonlySet<PlatformCall['method']> = new Set(['GET', 'DELETE']);

const getRetryAfter = (response: Dispatcher.ResponseData): { retryAfterMs?: number } => {
  const seconds = Number(response.headers['retry-after']);
  return Number.isFinite(seconds) ? { retryAfterMs: seconds * MS_PER_SECOND } : {};
};

/** A cut answer of this kind looks like a whole one, and objects don't tell. */
const isUnframed = ({ statusCode, headers }: Dispatcher.ResponseData): boolean =>
  statusCode !== HTTP_NO_CONTENT &&
  headers['content-length'] === undefined &&
  headers['transfer-encoding'] === undefined;

/** Calls one platform service over kept-alive connections. */
export class HttpCaller {
  readonly #baseUrl: string;

  readonly #timeoutMs: number;

  /**
   * A connection that went silent for good must not serve the next call, or every later call would
   * time out too. A timed-out call therefore leaves the whole pool and the next one connects anew. Calls
   * in progress on the old pool go on until their own time is over: cut off, their outcome is unknown.
   */
  #agent: Agent;

  constructor(baseUrl: string, timeoutMs: number) {
    this.#baseUrl = baseUrl;
    this.#timeoutMs = timeoutMs;
    this.#agent = HttpCaller.#createAgent();
  }

  static #createAgent(): Agent {
    return new Agent({ connections: MAX_CONNECTIONS, keepAliveTimeout: KEEP_ALIVE_MS });
  }

  /**
   * Calls; resolves for 2xx, and for a 404 to what may be absent; throws the platform's errors otherwise. A
   * write that is answered 404 came to the wrong place: taken for done, its data would be lost.
   */
  async call(call: PlatformCall): Promise<PlatformAnswer> {
    const response = await this.#send(call);
    const isAbsent = response.status === HTTP_NOT_FOUND && ABSENCE_METHODS.has(call.method);
    if (isAbsent || response.status < HTTP_OK_LIMIT) {
      return response;
    }
    throw new PlatformRefusedError(`${call.path} answered ${response.status}`, response.hint);
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #send(
    call: PlatformCall,
  ): Promise<PlatformAnswer & { readonly hint: { retryAfterMs?: number } }> {
    const agent = this.#agent;
    try {
      const response = await request(`${this.#baseUrl}${call.path}`, {
        dispatcher: agent,
        method: call.method,
        signal: AbortSignal.timeout(call.timeoutMs ?? this.#timeoutMs),
        ...(call.body === undefined
          ? {}
          : { body: call.body, headers: { 'content-type': 'application/json' } }),
      });
      const bytes = new Uint8Array(await response.body.arrayBuffer());
      if (call.method === 'GET' && isUnframed(response)) {
        throw new Error('the answer has neither a length nor chunks');
      }
      return { status: response.statusCode, bytes, hint: getRetryAfter(response) };
    } catch (error) {
      this.#dropAgent(agent);
      throw HttpCaller.#toPlatformError(call, error);
    }
  }

  #dropAgent(agent: Agent): void {
    if (agent !== this.#agent) {
      return;
    }
    this.#agent = HttpCaller.#createAgent();
    agent.close().catch(() => undefined);
  }

  static #toPlatformError(call: PlatformCall, cause: unknown): Error {
    const message = `${call.method} ${call.path}: ${getErrorMessage(cause)}`;
    return isNotSent(cause)
      ? new PlatformRefusedError(message, { cause })
      : new PlatformOutcomeUnknownError(message, { cause });
  }
}

/** The part of a schema that decoding needs. */
interface AnswerSchema<Value> {
  parse(input: unknown): Value;
}

/**
 * Decodes a JSON body of the form given. An answer in another form is none of the service's: what became
 * of the call is unknown, and only as such do callers ask again.
 */
export const decodeAnswer = <Value>(answer: PlatformAnswer, schema: AnswerSchema<Value>): Value => {
  try {
    return schema.parse(JSON.parse(Buffer.from(answer.bytes).toString('utf8')));
  } catch (cause) {
    const message = `an answer ${answer.status} in another form: ${getErrorMessage(cause)}`;
    throw new PlatformOutcomeUnknownError(message, { cause });
  }
};

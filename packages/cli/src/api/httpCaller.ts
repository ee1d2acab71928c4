/** Calls of the operator API over HTTP, going from daemon to daemon until one answers. */
import { Agent, request, type Dispatcher } from 'undici';
import { z } from 'zod';
import { getErrorMessage, sleep } from '@snipehaven/common';
import { CALL_TIMEOUT_MS, CLIENT_REQUEST_ID_HEADER, RETRY_PAUSE_MS } from '../constants.js';
import type { Endpoint } from '../contexts/selectEndpoint.js';
import { ApiCallError, UnreachableError } from '../errors.js';

/** One call; safe to repeat, for writes carry a client request id. */
export interface ApiCall {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  readonly path: string;
  readonly query?: Readonly<Record<string, string | number | boolean | undefined>>;
  readonly body?: unknown;
  readonly clientRequestId?: string;
}

const errorSchema = z.object({
  error: z.object({
    code: z.string(),
    message: z.string(),
    issues: z.array(z.object({ path: z.string(), rule: z.string() })).optional(),
    differences: z
      .array(
        z.object({
          path: z.string(),
          present: z.unknown().optional(),
          sent: z.unknown().optional(),
        }),
      )
      .optional(),
  }),
});

const OK_LIMIT = 400;
/** Answers after which another daemon may do better: cut off from the table, or not the one meant. */
const passedOnStatuses: ReadonlySet<number> = new Set([421, 503]);

const toUrl = (base: string, call: ApiCall): URL => {
  const url = new URL(call.path, base);
  Object.entries(call.query ?? {}).forEach(([key, value]) => {
    if (value !== undefined) {
      url.searchParams.set(key, String(value));
    }
  });
  return url;
};

const toHeaders = (endpoint: Endpoint, call: ApiCall): Record<string, string> => ({
  ...(endpoint.token === '' ? {} : { authorization: `Bearer ${endpoint.token}` }),
  ...(call.body === undefined ? {} : { 'content-type': 'application/json' }),
  ...(call.clientRequestId === undefined
    ? {}
    : { [CLIENT_REQUEST_ID_HEADER]: call.clientRequestId }),
});

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
};

/** The error of an answer that is not what the API writes, such as a balancer's page. */
const toApiError = (status: number, text: string): ApiCallError => {
  const result = errorSchema.safeParse(parseJson(text));
  return result.success
    ? new ApiCallError(status, result.data.error)
    : new ApiCallError(status, { code: 'unexpected', message: `status ${status}` });
};

const isWorthNextDaemon = (error: unknown): boolean =>
  !(error instanceof ApiCallError) || passedOnStatuses.has(error.status);

export class HttpCaller {
  readonly #endpoint: Endpoint;

  readonly #agent = new Agent({ connectTimeout: CALL_TIMEOUT_MS });

  constructor(endpoint: Endpoint) {
    this.#endpoint = endpoint;
  }

  get urls(): readonly string[] {
    return this.#endpoint.urls;
  }

  /** The JSON answer; throws {@link ApiCallError} or {@link UnreachableError}. */
  async call(call: ApiCall): Promise<unknown> {
    const text = await this.callText(call);
    const body = parseJson(text);
    if (body === undefined) {
      throw new ApiCallError(502, { code: 'unexpected', message: 'the answer is not JSON' });
    }
    return body;
  }

  /**
   * The answer's text, from the first daemon that works. All are tried twice: a reply that was lost
   * after a write is asked for again under the same client request id.
   */
  async callText(call: ApiCall): Promise<string> {
    let lastError: unknown;
    const { urls } = this.#endpoint;
    for (const [attempt, base] of [...urls, ...urls].entries()) {
      if (attempt === urls.length) {
        await sleep(RETRY_PAUSE_MS);
      }
      try {
        return await this.#callOne(base, call);
      } catch (error) {
        lastError = error;
        if (!isWorthNextDaemon(error)) {
          break;
        }
      }
    }
    throw lastError instanceof ApiCallError ? lastError : this.#toUnreachable(lastError);
  }

  /** Opens a stream at one daemon; the caller reads and ends it. */
  async openStream(
    base: string,
    call: ApiCall,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData> {
    const response = await request(toUrl(base, call), {
      ...this.#toOptions(call),
      bodyTimeout: 0,
      signal,
    });
    if (response.statusCode >= OK_LIMIT) {
      throw toApiError(response.statusCode, await response.body.text());
    }
    return response;
  }

  /** Closes all connections, so that the process can end. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #toOptions(call: ApiCall) {
    return {
      method: call.method,
      headers: toHeaders(this.#endpoint, call),
      body: call.body === undefined ? null : JSON.stringify(call.body),
      dispatcher: this.#agent,
      headersTimeout: CALL_TIMEOUT_MS,
    };
  }

  async #callOne(base: string, call: ApiCall): Promise<string> {
    const response = await request(toUrl(base, call), {
      ...this.#toOptions(call),
      bodyTimeout: CALL_TIMEOUT_MS,
    });
    const text = await response.body.text();
    if (response.statusCode >= OK_LIMIT) {
      throw toApiError(response.statusCode, text);
    }
    return text;
  }

  #toUnreachable(error: unknown): UnreachableError {
    const urls = this.#endpoint.urls.join(', ');
    return new UnreachableError(`no answer from ${urls}: ${getErrorMessage(error)}`, {
      cause: error,
    });
  }
}

/** Plain services over HTTP. */
import { FENCE_HEADER, REQUEST_KEY_HEADER } from './constants.js';
import { isUpstreamError, UpstreamSilentError } from './errors.js';
import type { ServiceAnswer, ServiceCall, ServiceClient } from './types.js';
import { sendRequest, throwUnlessOk, toUpstreamError } from './upstreamCall.js';
import type { UpstreamPools } from './upstreamPools.js';

const HTTP_SERVER_ERROR = 500;
const HTTP_CONFLICT = 409;

/** Statuses that are the upstream's refusal rather than an answer for the caller. */
const isRefusal = (status: number, notStarted: unknown): boolean =>
  status >= HTTP_SERVER_ERROR || status === HTTP_CONFLICT || notStarted !== undefined;

const getHeaders = (call: ServiceCall): Record<string, string> => ({
  [REQUEST_KEY_HEADER]: call.requestKey,
  ...(call.contentType === undefined ? {} : { 'content-type': call.contentType }),
  ...(call.fence === undefined ? {} : { [FENCE_HEADER]: String(call.fence) }),
});

export class HttpServiceClient implements ServiceClient {
  readonly #pools: UpstreamPools;

  constructor(pools: UpstreamPools) {
    this.#pools = pools;
  }

  async call(call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer> {
    const pool = this.#pools.getPool(call.url);
    try {
      return await this.#send(call, signal);
    } catch (error) {
      const known = isUpstreamError(error) ? error : toUpstreamError(error, call.url, signal);
      if (known instanceof UpstreamSilentError) {
        this.#pools.renew(call.url, pool);
      }
      throw known;
    }
  }

  async #send(call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer> {
    const response = await sendRequest(
      this.#pools.getPool(call.url),
      call.url,
      {
        method: call.method,
        path: call.path,
        headers: getHeaders(call),
        headersTimeout: call.timeoutMs,
        bodyTimeout: call.timeoutMs,
        ...(call.body === undefined ? {} : { body: call.body }),
      },
      signal,
    );
    if (isRefusal(response.statusCode, response.headers['x-not-started'])) {
      await throwUnlessOk(response, call.url);
    }
    return {
      status: response.statusCode,
      contentType: String(response.headers['content-type'] ?? 'application/octet-stream'),
      body: new Uint8Array(await response.body.arrayBuffer()),
    };
  }
}

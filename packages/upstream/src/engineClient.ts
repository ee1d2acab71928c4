/** Engines over HTTP; the protocol is docs/PROTOCOLS.md. */
import type { Dispatcher, Pool } from 'undici';
import {
  CONTROL_CALL_TIMEOUT_MS,
  DONE_DATA,
  PRIORITY_HEADER,
  REQUEST_KEY_HEADER,
  STREAM_ID_HEADER,
} from './constants.js';
import {
  OrderFencedError,
  StreamUnknownError,
  UpstreamBrokenError,
  UpstreamFailedError,
  UpstreamSilentError,
  isUpstreamError,
} from './errors.js';
import { cacheEventsSchema, loadSchema, streamStateSchema } from './schemas.js';
import { readEagerly } from './readEagerly.js';
import { readSseEvents } from './sseEvents.js';
import type {
  CacheEvent,
  EngineClient,
  EngineEvent,
  EngineLoad,
  EngineOrder,
  EngineRun,
  StreamState,
} from './types.js';
import { sendRequest, throwUnlessOk, toUpstreamError } from './upstreamCall.js';
import { provesNotStarted, readBootMs } from './unknownStream.js';
import type { UpstreamPools } from './upstreamPools.js';

const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;

const getStreamPath = (streamId: string): string => `/streams/${encodeURIComponent(streamId)}`;

const isDone = (batch: readonly EngineEvent[]): boolean => batch.at(-1)?.data === DONE_DATA;

export class HttpEngineClient implements EngineClient {
  readonly #pools: UpstreamPools;

  constructor(pools: UpstreamPools) {
    this.#pools = pools;
  }

  async *start(run: EngineRun, signal: AbortSignal): AsyncGenerator<readonly EngineEvent[]> {
    const options: Dispatcher.RequestOptions = {
      method: 'POST',
      path: '/v1/chat/completions',
      body: run.body,
      headers: {
        'content-type': 'application/json',
        [STREAM_ID_HEADER]: run.streamId,
        [REQUEST_KEY_HEADER]: run.requestKey,
        [PRIORITY_HEADER]: String(run.priority),
      },
      headersTimeout: run.firstByteTimeoutMs,
      bodyTimeout: run.betweenChunksTimeoutMs,
    };
    yield* this.#read(run.url, options, 0, signal);
  }

  async *resume(
    run: EngineRun,
    afterOffset: number,
    signal: AbortSignal,
  ): AsyncGenerator<readonly EngineEvent[]> {
    const options: Dispatcher.RequestOptions = {
      method: 'GET',
      path: `${getStreamPath(run.streamId)}?from=${afterOffset}`,
      headersTimeout: run.firstByteTimeoutMs,
      bodyTimeout: run.betweenChunksTimeoutMs,
    };
    try {
      yield* this.#read(run.url, options, afterOffset, signal);
    } catch (error) {
      if (error instanceof UpstreamFailedError && error.status === HTTP_NOT_FOUND) {
        throw new StreamUnknownError(`${run.url} does not know ${run.streamId}`, { cause: error });
      }
      throw error;
    }
  }

  getState(
    url: string,
    streamId: string,
    handedOverAtMs?: number,
  ): Promise<StreamState | undefined> {
    const path = `${getStreamPath(streamId)}/state`;
    return this.#askForStream(url, 'GET', path, handedOverAtMs);
  }

  cancel(url: string, streamId: string, handedOverAtMs?: number): Promise<StreamState | undefined> {
    return this.#askForStream(url, 'DELETE', getStreamPath(streamId), handedOverAtMs);
  }

  async getLoad(url: string): Promise<EngineLoad> {
    return loadSchema.parse(await this.#control(url, 'GET', '/load'));
  }

  async fetchCacheEvents(
    url: string,
    afterSeq: number,
  ): Promise<{ readonly events: readonly CacheEvent[]; readonly lastSeq: number }> {
    const path = `/cache-events?after=${afterSeq}`;
    return cacheEventsSchema.parse(await this.#control(url, 'GET', path));
  }

  async order(url: string, order: EngineOrder): Promise<void> {
    try {
      await this.#control(url, 'POST', '/orders', JSON.stringify(order));
    } catch (error) {
      if (error instanceof UpstreamFailedError && error.status === HTTP_CONFLICT) {
        throw new OrderFencedError(`${url} refused fence ${order.fence}`, { cause: error });
      }
      throw error;
    }
  }

  /** A stream that ends without `[DONE]` was cut: that must never look like a whole answer. */
  async *#read(
    url: string,
    options: Dispatcher.RequestOptions,
    afterOffset: number,
    signal: AbortSignal,
  ): AsyncGenerator<readonly EngineEvent[]> {
    const pool = this.#pools.getPool(url);
    let hasEnded = false;
    try {
      const response = await sendRequest(pool, url, options, signal);
      await throwUnlessOk(response, url);
      for await (const batch of readSseEvents(readEagerly(response.body), afterOffset)) {
        hasEnded = isDone(batch);
        yield batch;
      }
    } catch (error) {
      throw this.#toError(error, url, pool, signal);
    }
    if (!hasEnded) {
      throw new UpstreamBrokenError(`${url} ended a stream without ${DONE_DATA}`);
    }
  }

  async #askForStream(
    url: string,
    method: Dispatcher.HttpMethod,
    path: string,
    handedOverAtMs: number | undefined,
  ): Promise<StreamState | undefined> {
    try {
      return streamStateSchema.parse(await this.#control(url, method, path));
    } catch (error) {
      if (!(error instanceof UpstreamFailedError) || error.status !== HTTP_NOT_FOUND) {
        throw error;
      }
      if (provesNotStarted(readBootMs(error.text), handedOverAtMs, Date.now())) {
        return undefined;
      }
      throw new StreamUnknownError(`${url} does not know ${path}`, { cause: error });
    }
  }

  async #control(
    url: string,
    method: Dispatcher.HttpMethod,
    path: string,
    body?: string,
  ): Promise<unknown> {
    const pool = this.#pools.getPool(url);
    try {
      const response = await sendRequest(pool, url, {
        method,
        path,
        headersTimeout: CONTROL_CALL_TIMEOUT_MS,
        bodyTimeout: CONTROL_CALL_TIMEOUT_MS,
        ...(body === undefined ? {} : { body, headers: { 'content-type': 'application/json' } }),
      });
      await throwUnlessOk(response, url);
      return await response.body.json();
    } catch (error) {
      throw this.#toError(error, url, pool);
    }
  }

  #toError(error: unknown, url: string, pool: Pool, signal?: AbortSignal): Error {
    const known = isUpstreamError(error) ? error : toUpstreamError(error, url, signal);
    if (known instanceof UpstreamSilentError) {
      this.#pools.renew(url, pool);
    }
    return known;
  }
}

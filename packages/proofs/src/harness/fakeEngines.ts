/** Engines and services over the stand-ins' cores, as one daemon sees them through the network. */
import { sleep } from '@snipehaven/common';
import {
  ConnectionLostError,
  DuplicateStreamError,
  NotStartedError,
  StaleFenceError,
  UnavailableError,
  UnknownStreamError,
  type EngineCore,
  type ServiceCore,
  type StreamEnd,
  type StreamEvent,
} from '@snipehaven/standins';
import {
  DONE_DATA,
  isUpstreamError,
  OrderFencedError,
  provesNotStarted,
  StreamUnknownError,
  UpstreamAbortedError,
  UpstreamBrokenError,
  UpstreamFailedError,
  UpstreamNotStartedError,
  UpstreamSilentError,
  type EngineClient,
  type EngineEvent,
  type EngineRun,
  type ServiceClient,
} from '@snipehaven/upstream';
import { NetworkLostError, type Network } from './network.js';

const CONTROL_TIMEOUT_MS = 1_500;
const HTTP_CONFLICT = 409;
const HTTP_ERROR = 500;

type ErrorClass = abstract new (...args: never[]) => Error;

/** What each fault of a core looks like to a client. */
const translations: readonly (readonly [ErrorClass, (error: Error) => Error])[] = [
  [NotStartedError, (error) => new UpstreamNotStartedError(error.message)],
  [UnavailableError, (error) => new UpstreamFailedError(503, error.message)],
  [DuplicateStreamError, (error) => new UpstreamFailedError(HTTP_CONFLICT, error.message)],
  [StaleFenceError, (error) => new OrderFencedError(error.message)],
  [UnknownStreamError, (error) => new StreamUnknownError(error.message)],
  [ConnectionLostError, (error) => new UpstreamBrokenError(error.message)],
];

/** A connection that cannot be opened proves that nothing was sent; any other loss proves nothing. */
const toUpstreamError = (error: unknown): Error => {
  if (isUpstreamError(error)) {
    return error;
  }
  if (error instanceof NetworkLostError) {
    return error.hasArrived
      ? new UpstreamSilentError(error.message)
      : new UpstreamNotStartedError(error.message, { cause: error });
  }
  const translation = translations.find(([type]) => error instanceof type);
  return translation
    ? translation[1](error as Error)
    : new UpstreamFailedError(HTTP_ERROR, String(error));
};

/** The events of one connection, waiting to be read. */
class EventQueue {
  readonly #events: EngineEvent[] = [];

  #end: StreamEnd | undefined;

  #wake: (() => void) | undefined;

  push(events: readonly StreamEvent[]): void {
    this.#events.push(...events.map((event) => ({ offset: event.id, data: event.data })));
    this.#wake?.();
  }

  finish(end: StreamEnd): void {
    this.#end = end;
    this.#wake?.();
  }

  get end(): StreamEnd | undefined {
    return this.#end;
  }

  take(): readonly EngineEvent[] {
    return this.#events.splice(0);
  }

  /** Resolves when there is something, after the timeout, or when the signal aborts. */
  async wait(timeoutMs: number, signal: AbortSignal): Promise<void> {
    if (this.#events.length > 0 || this.#end !== undefined) {
      return;
    }
    const timer = new AbortController();
    const stop = (): void => timer.abort();
    signal.addEventListener('abort', stop, { once: true });
    this.#wake = stop;
    if (!signal.aborted) {
      await sleep(timeoutMs, timer.signal);
    }
    signal.removeEventListener('abort', stop);
    this.#wake = undefined;
  }
}

type Subscribe = (queue: EventQueue) => () => void;

export class FakeEngines implements EngineClient {
  readonly #node: string;

  readonly #network: Network;

  readonly #engines: ReadonlyMap<string, EngineCore>;

  /** Connections opened before a silence stay silent for good. */
  #silencedBefore = 0;

  #connections = 0;

  #keepsSilent = false;

  constructor(node: string, network: Network, engines: ReadonlyMap<string, EngineCore>) {
    this.#node = node;
    this.#network = network;
    this.#engines = engines;
  }

  /** From the next silence on no connection ever works again, as in a pool that trusts its sockets. */
  keepSilentConnections(): void {
    this.#keepsSilent = true;
  }

  /** All connections that are open now go silent for good; new ones work. */
  silenceConnections(): void {
    this.#silencedBefore = this.#keepsSilent ? Infinity : this.#connections + 1;
  }

  start(run: EngineRun, signal: AbortSignal): AsyncIterable<readonly EngineEvent[]> {
    const body = JSON.parse(run.body) as {
      model: string;
      messages: { role: string; content: string }[];
      max_tokens?: number;
    };
    return this.#read(run, 0, signal, (queue) => {
      const stream = this.#getEngine(run.url).start({
        streamId: run.streamId,
        versionId: body.model,
        messages: body.messages,
        maxTokens: body.max_tokens,
        priority: run.priority,
        requestKey: run.requestKey,
      });
      return stream.subscribe(0, this.#toListener(queue));
    });
  }

  resume(
    run: EngineRun,
    afterOffset: number,
    signal: AbortSignal,
  ): AsyncIterable<readonly EngineEvent[]> {
    return this.#read(run, afterOffset, signal, (queue) =>
      this.#getEngine(run.url).resume(run.streamId, afterOffset, this.#toListener(queue)),
    );
  }

  getState(
    url: string,
    streamId: string,
    handedOverAtMs?: number,
  ): ReturnType<EngineClient['getState']> {
    return this.#askForStream(url, (engine) => engine.getState(streamId), handedOverAtMs);
  }

  cancel(
    url: string,
    streamId: string,
    handedOverAtMs?: number,
  ): ReturnType<EngineClient['cancel']> {
    return this.#askForStream(url, (engine) => engine.cancel(streamId), handedOverAtMs);
  }

  async getLoad(url: string): ReturnType<EngineClient['getLoad']> {
    return this.#control(url, (engine) => engine.getLoad());
  }

  async fetchCacheEvents(
    url: string,
    afterSeq: number,
  ): ReturnType<EngineClient['fetchCacheEvents']> {
    const page = await this.#control(url, (engine) => engine.listCacheEvents(afterSeq));
    return page ?? { events: [], lastSeq: afterSeq };
  }

  async order(
    url: string,
    order: Parameters<EngineClient['order']>[1],
  ): ReturnType<EngineClient['order']> {
    await this.#control(url, (engine) => engine.order(order));
  }

  #toListener(queue: EventQueue): Parameters<EngineCore['resume']>[2] {
    return {
      onEvents: (events) => queue.push(events),
      onEnd: (end) => queue.finish(end),
    };
  }

  async *#read(
    run: EngineRun,
    afterOffset: number,
    signal: AbortSignal,
    subscribe: Subscribe,
  ): AsyncGenerator<readonly EngineEvent[]> {
    this.#connections += 1;
    const connection = this.#connections;
    const queue = new EventQueue();
    const unsubscribe = await this.#open(run, queue, subscribe);
    let last = afterOffset;
    try {
      for (;;) {
        const isFirst = last === afterOffset;
        const timeoutMs = isFirst ? run.firstByteTimeoutMs : run.betweenChunksTimeoutMs;
        const batch = await this.#next(run, queue, connection, timeoutMs, signal);
        last = batch.at(-1)?.offset ?? last;
        if (batch.length > 0) {
          yield batch;
        }
        if (queue.end !== undefined) {
          yield* this.#conclude(queue, last);
          return;
        }
      }
    } finally {
      unsubscribe();
    }
  }

  async #open(run: EngineRun, queue: EventQueue, subscribe: Subscribe): Promise<() => void> {
    try {
      return await this.#network.call(this.#node, run.url, CONTROL_TIMEOUT_MS, () =>
        this.#getEngine(run.url).gate.run(this.#node, () => subscribe(queue)),
      );
    } catch (error) {
      throw toUpstreamError(error);
    }
  }

  /** The next events; throws what a dead connection looks like. */
  async #next(
    run: EngineRun,
    queue: EventQueue,
    connection: number,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<readonly EngineEvent[]> {
    await queue.wait(timeoutMs, signal);
    if (signal.aborted) {
      throw new UpstreamAbortedError('aborted');
    }
    const isSilent =
      connection < this.#silencedBefore || !this.#network.isReachable(this.#node, run.url);
    if (isSilent) {
      await sleep(timeoutMs, signal);
      throw new UpstreamSilentError(`${run.url} is silent`);
    }
    const batch = queue.take();
    if (batch.length === 0 && queue.end === undefined) {
      throw new UpstreamSilentError(`${run.url} sent nothing for ${timeoutMs} ms`);
    }
    return batch;
  }

  *#conclude(queue: EventQueue, last: number): Generator<readonly EngineEvent[]> {
    const rest = queue.take();
    if (rest.length > 0) {
      yield rest;
    }
    if (queue.end !== 'done') {
      throw new UpstreamBrokenError(`the stream ended: ${queue.end}`);
    }
    yield [{ offset: (rest.at(-1)?.offset ?? last) + 1, data: DONE_DATA }];
  }

  /** An unknown stream is a proof under the same terms as over HTTP. */
  async #askForStream<Result>(
    url: string,
    perform: (engine: EngineCore) => Result,
    handedOverAtMs: number | undefined,
  ): Promise<Result | undefined> {
    let bootMs: number | undefined;
    const performNoted = (engine: EngineCore): Result => {
      try {
        return perform(engine);
      } catch (error) {
        bootMs = error instanceof UnknownStreamError ? error.bootMs : undefined;
        throw error;
      }
    };
    try {
      return await this.#control(url, performNoted);
    } catch (error) {
      const isProof =
        error instanceof StreamUnknownError && provesNotStarted(bootMs, handedOverAtMs, Date.now());
      if (isProof) {
        return undefined;
      }
      throw error;
    }
  }

  async #control<Result>(url: string, perform: (engine: EngineCore) => Result): Promise<Result> {
    try {
      return await this.#network.call(this.#node, url, CONTROL_TIMEOUT_MS, () =>
        this.#getEngine(url).gate.run(this.#node, () => perform(this.#getEngine(url))),
      );
    } catch (error) {
      throw toUpstreamError(error);
    }
  }

  #getEngine(url: string): EngineCore {
    const engine = this.#engines.get(url);
    if (engine === undefined) {
      throw new UpstreamNotStartedError(`nothing listens at ${url}`);
    }
    return engine;
  }
}

/** Plain services for the daemon `node`. */
export const createFakeServices = (
  node: string,
  network: Network,
  services: ReadonlyMap<string, ServiceCore>,
): ServiceClient => ({
  call: async (call) => {
    const service = services.get(call.url);
    if (service === undefined) {
      throw new UpstreamNotStartedError(`nothing listens at ${call.url}`);
    }
    const request = {
      method: call.method,
      path: call.path,
      body: call.body ?? '',
      requestKey: call.requestKey,
      fence: call.fence,
    };
    try {
      const reply = await network.call(node, call.url, call.timeoutMs, () =>
        service.call(request, node),
      );
      const body = Buffer.from(JSON.stringify(reply));
      return { status: 200, contentType: 'application/json', body };
    } catch (error) {
      throw toUpstreamError(error);
    }
  },
});

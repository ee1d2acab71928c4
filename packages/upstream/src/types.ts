/** What the system asks of engines and plain services, as interfaces that fakes implement too. */

/** A run of a request at an engine. */
export interface EngineRun {
  readonly url: string;
  readonly streamId: string;
  /** What the caller's retries share, for upstreams that tell them apart. */
  readonly requestKey: string;
  /** OpenAI's body as JSON text, `model` being `model@version` and `stream` true. */
  readonly body: string;
  /** 0 lowest to 9. */
  readonly priority: number;
  readonly firstByteTimeoutMs: number;
  readonly betweenChunksTimeoutMs: number;
}

/** One event of an engine's stream. */
export interface EngineEvent {
  /** Counts from 1; the place to resume from. */
  readonly offset: number;
  /** The text of the event's `data`: a JSON chunk, or `[DONE]`. */
  readonly data: string;
}

export type StreamStateName = 'running' | 'finished' | 'cancelled';

/** An engine's own account of a run. */
export interface StreamState {
  readonly state: StreamStateName;
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly chunks: number;
}

export interface EngineLoad {
  readonly atMs: number;
  readonly running: number;
  readonly queued: number;
  readonly kvUsedPct: number;
  readonly versions: readonly string[];
  readonly leaving: boolean;
}

export interface CacheEvent {
  readonly seq: number;
  readonly kind: 'added' | 'evicted';
  readonly prefix: string;
}

export interface EngineOrder {
  readonly fence: number;
  readonly kind: 'loadVersion' | 'unloadVersion' | 'setRole';
  readonly version?: string;
  readonly role?: string;
}

export interface EngineClient {
  /** Starts a run; batches of events until `[DONE]`. Throws the errors of this layer. */
  start(run: EngineRun, signal: AbortSignal): AsyncIterable<readonly EngineEvent[]>;
  /** Goes on with a run after an offset, on a NEW connection. */
  resume(
    run: EngineRun,
    afterOffset: number,
    signal: AbortSignal,
  ): AsyncIterable<readonly EngineEvent[]>;
  /**
   * The engine's account of a run; undefined: proved never to have started there. An engine that does not
   * have the run proves nothing unless it was handed over, at the earliest at `handedOverAtMs`, within the
   * engine's memory: StreamUnknownError. Without `handedOverAtMs` nothing is ever proved.
   */
  getState(
    url: string,
    streamId: string,
    handedOverAtMs?: number,
  ): Promise<StreamState | undefined>;
  /** Ends a run; resolves with its final account, or undefined and errors as `getState`. */
  cancel(url: string, streamId: string, handedOverAtMs?: number): Promise<StreamState | undefined>;
  getLoad(url: string): Promise<EngineLoad>;
  fetchCacheEvents(
    url: string,
    afterSeq: number,
  ): Promise<{ readonly events: readonly CacheEvent[]; readonly lastSeq: number }>;
  order(url: string, order: EngineOrder): Promise<void>;
}

export interface ServiceCall {
  readonly url: string;
  readonly method: string;
  readonly path: string;
  readonly requestKey: string;
  readonly contentType?: string;
  readonly body?: Uint8Array;
  readonly fence?: number;
  readonly timeoutMs: number;
}

export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

export interface ServiceClient {
  call(call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer>;
}

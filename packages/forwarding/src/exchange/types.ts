/** Types of one request sent to one upstream, and of its outcome. */
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { AnswerMetadata, HeaderMap } from '../types.js';
import type { UpstreamConnection } from './upstreamConnection.js';

/**
 * Outcome of a request without a complete response. `notSent`: no byte was written. `unknown`: it
 * may have run. `broken`: a response had begun.
 */
export type ExchangeVerdict = 'notSent' | 'unknown' | 'broken';

/** An answer that does not belong to the request that it arrived for. */
export interface ForeignAnswer {
  readonly status: number;
  /** The attempt that it names; absent if it names none. */
  readonly attemptId?: string;
}

export interface ExchangeFailure {
  readonly verdict: ExchangeVerdict;
  /** Reason for the log. */
  readonly cause: string;
  readonly foreignAnswer?: ForeignAnswer;
}

/**
 * How the end of a response is marked. `untilClose`: by the end of the connection, whether complete
 * or not.
 */
export type ResponseFraming = 'length' | 'chunked' | 'untilClose';

export interface ResponseHead {
  readonly status: number;
  readonly headers: HeaderMap;
  readonly facts: AnswerMetadata;
  readonly framing: ResponseFraming;
}

export interface ExchangeListener {
  /** Bytes have arrived and are about to be read. */
  onReadable(): void;
  onHead(head: ResponseHead): void;
  onData(bytes: Buffer): void;
  /** The response is complete, or has been ended by its connection (`untilClose`). */
  onEnd(): void;
  /** Called at most once, and never after `onEnd` or `abort`. */
  onFailure(failure: ExchangeFailure): void;
}

/** Result of a probe connection that checks whether a process listens; `silent`: no reply. */
export type ProbeOutcome = 'listening' | 'refused' | 'silent';

export interface UpstreamRequest {
  readonly method: string;
  /** Path and query as received. */
  readonly target: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
  readonly attemptId: string;
  readonly isFreshConnectionNeeded: boolean;
  /**
   * The connections on which this attempt was sent before, to which this one is added. A late copy
   * of its earlier answer may still arrive there, and bears the same attempt id.
   */
  readonly usedConnections: Set<UpstreamConnection>;
}

/** The callback is called once, with an error or with the connected socket. */
export type ConnectCallback = (error: Error | null, socket: Socket | null) => void;

/** Opens a TCP connection within a time limit. */
export type OpenSocket = (
  host: string,
  port: number,
  timeoutMs: number,
  callback: ConnectCallback,
) => Socket;

/** `timedOut`: nothing answered within the time limit. */
export type ConnectOutcome = 'connected' | 'refused' | 'timedOut' | 'failed';

/** `relayed`: through another daemon. */
export type ConnectionPath = 'direct' | 'relayed';

/** A socket, or a stream that may count its bytes like one. */
export interface CountingStream extends Duplex {
  readonly bytesRead?: number;
}

export interface OpenedConnection {
  readonly stream: CountingStream;
  readonly path: ConnectionPath;
}

/** The callback is called once, with an error or with the open connection. */
export type OpenCallback = (error: Error | null, opened: OpenedConnection | null) => void;

export interface PathListener {
  /** No new direct connection can be opened; `isSilent`: nor do open ones carry anything. */
  onLost(isSilent: boolean): void;
}

/** Opens and probes connections to one upstream. */
export interface Connector {
  /** Whether direct connections cannot be opened though other daemons reach the upstream. */
  readonly isBlocked: boolean;
  /** Returns a function that gives up; the callback is then not called. */
  open(callback: OpenCallback): () => void;
  /** Checks whether the upstream's process listens, by a connection that carries no request. */
  probe(): Promise<ProbeOutcome>;
  /** Reports to the listener when the direct path to the upstream is lost. */
  watchPath(listener: PathListener): void;
  /** Called when the upstream sent something on a direct connection. */
  recordActivity(): void;
  /** Called when a request has got no answer for a while: the direct path may be lost. */
  checkPath(): void;
  /** Called when the upstream is no longer listed. */
  close(): void;
}

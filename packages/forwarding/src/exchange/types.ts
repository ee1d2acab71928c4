/** Types of one request sent to one upstream, and of its outcome. */
import type { AnswerMetadata, HeaderMap } from '../types.js';

/**
 * Outcome of a request without a complete response. `notSent`: no byte was written. `unknown`: it
 * may have run. `broken`: a response had begun.
 */
export type ExchangeVerdict = 'notSent' | 'unknown' | 'broken';

export interface ExchangeFailure {
  readonly verdict: ExchangeVerdict;
  /** Reason for the log. */
  readonly cause: string;
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
  onHead(head: ResponseHead): void;
  onData(bytes: Buffer): void;
  /** The response is complete. */
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
}

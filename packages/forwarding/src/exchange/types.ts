/** One request sent to one upstream, and what came of it. */
import type { AnswerFacts, HeaderMap } from '../types.js';

/**
 * What is known of a request that got no whole answer. `notSent`: no byte was written.
 * `unknown`: it may have run. `broken`: an answer had begun.
 */
export type ExchangeVerdict = 'notSent' | 'unknown' | 'broken';

export interface ExchangeFailure {
  readonly verdict: ExchangeVerdict;
  /** For the log: what happened. */
  readonly cause: string;
}

/** How the end of an answer is told. `untilClose`: by the end of its connection, whole or not. */
export type ResponseFraming = 'length' | 'chunked' | 'untilClose';

export interface ResponseHead {
  readonly status: number;
  readonly headers: HeaderMap;
  readonly facts: AnswerFacts;
  readonly framing: ResponseFraming;
}

export interface ExchangeListener {
  onHead(head: ResponseHead): void;
  onData(bytes: Buffer): void;
  /** The whole answer has come. */
  onEnd(): void;
  /** Called at most once, and never after `onEnd` or `abort`. */
  onFailure(failure: ExchangeFailure): void;
}

/** What came of a connection made to learn whether a process listens; `silent`: nobody said. */
export type ProbeOutcome = 'listening' | 'refused' | 'silent';

export interface UpstreamRequest {
  readonly method: string;
  /** Path and query as they came. */
  readonly target: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
  readonly attemptId: string;
  readonly isFreshConnectionNeeded: boolean;
}

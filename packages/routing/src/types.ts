/** Requests and answers as the request path sees them. */
import type { Resource } from '@snipehaven/resources';
import type { ChatBody } from './chatBody.js';
import type { Refusal } from './refusal.js';

/** Who calls. */
export interface CallerIdentity {
  readonly team: Resource<'Team'>;
  readonly keyName: string;
}

/** What every request carries in its headers. */
export interface RequestOptions {
  readonly task: string;
  /** 0 lowest to 9. */
  readonly priority: number;
  readonly deadlineAtMs: number;
  readonly idempotencyKey?: string;
  readonly isIdempotent: boolean;
  readonly sessionToken?: string;
  readonly callerSession?: string;
}

export interface ChatRequest {
  readonly requestId: string;
  readonly identity: CallerIdentity;
  readonly body: ChatBody;
  readonly options: RequestOptions;
}

export interface ServiceRequest {
  readonly requestId: string;
  readonly identity: CallerIdentity;
  readonly service: string;
  readonly method: string;
  /** Path and query behind the service's name. */
  readonly path: string;
  readonly contentType?: string;
  readonly body: Uint8Array;
  readonly options: RequestOptions;
}

/** Headers of an answer, beside its content type. */
export type AnswerHeaders = Readonly<Record<string, string>>;

/** Where an answer goes. */
export interface AnswerSink {
  /** Aborts when the caller has gone away. */
  readonly callerGone: AbortSignal;
  /** Starts a streamed answer. */
  begin(headers: AnswerHeaders): void;
  /** Writes SSE events; a promise where the caller reads slowly. */
  writeEvents(data: readonly string[]): Promise<void> | undefined;
  /** Ends a streamed answer that is whole. */
  end(): void;
  /** Sends a whole answer. */
  send(
    status: number,
    contentType: string,
    body: string | Uint8Array,
    headers: AnswerHeaders,
  ): void;
  /** Refuses, or ends a started stream with an honest error, never as if it were whole. */
  refuse(refusal: Refusal, headers: AnswerHeaders): void;
}

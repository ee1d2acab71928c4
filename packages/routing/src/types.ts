/** Requests and answers as seen by the request path. */
import type { Resource } from '@snipehaven/resources';
import type { ChatBody } from './chatBody.js';
import type { Refusal } from './refusal.js';

export interface CallerIdentity {
  readonly team: Resource<'Team'>;
  readonly keyName: string;
}

/** Options that every request carries in its headers. */
export interface RequestOptions {
  readonly task: string;
  /** From 0, the lowest, to 9. */
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
  /** Path and query after the service name. */
  readonly path: string;
  readonly contentType?: string;
  readonly body: Uint8Array;
  readonly options: RequestOptions;
}

/** Response headers except the content type. */
export type AnswerHeaders = Readonly<Record<string, string>>;

/** Receives the answer to a request. */
export interface AnswerSink {
  /** Aborts when the caller disconnects. */
  readonly callerGone: AbortSignal;
  /** Starts a streamed answer. */
  begin(headers: AnswerHeaders): void;
  /** Writes SSE events; returns a promise if the caller reads slowly. */
  writeEvents(data: readonly string[]): Promise<void> | undefined;
  /** Ends a complete streamed answer. */
  end(): void;
  /** Sends a complete answer. */
  send(
    status: number,
    contentType: string,
    body: string | Uint8Array,
    headers: AnswerHeaders,
  ): void;
  /** Refuses the request, or ends a started stream with an error, never as if it were complete. */
  refuse(refusal: Refusal, headers: AnswerHeaders): void;
}

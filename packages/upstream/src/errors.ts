/** Errors of engines and plain services. Each tells what is known of whether the request ran. */
import { SnipehavenError } from '@snipehaven/common';

/** The base of this layer's errors. */
export abstract class UpstreamError extends SnipehavenError {}

/** Whether the error was made by this layer. */
export const isUpstreamError = (error: unknown): error is UpstreamError =>
  error instanceof UpstreamError;

/** The upstream proved that nothing ran: it refused with `x-not-started`, or no byte went out. */
export class UpstreamNotStartedError extends UpstreamError {
  readonly code = 'upstream_not_started';

  readonly retryAfterMs: number | undefined;

  constructor(message: string, options?: ErrorOptions & { readonly retryAfterMs?: number }) {
    super(message, options);
    this.retryAfterMs = options?.retryAfterMs;
  }
}

/** No byte came for too long: the connection may be dead while the run goes on. */
export class UpstreamSilentError extends UpstreamError {
  readonly code = 'upstream_silent';
}

/** The connection broke or the answer was malformed: the run may or may not go on. */
export class UpstreamBrokenError extends UpstreamError {
  readonly code = 'upstream_broken';
}

/** The upstream answered with an error of its own; it may have run. */
export class UpstreamFailedError extends UpstreamError {
  readonly code = 'upstream_failed';

  readonly status: number;

  /** The beginning of its answer. */
  readonly text: string;

  constructor(status: number, message: string, text = '') {
    super(message);
    this.status = status;
    this.text = text;
  }
}

/** The engine does not know the stream (any more), which proves nothing about whether it ran. */
export class StreamUnknownError extends UpstreamError {
  readonly code = 'stream_unknown';
}

/** The caller of this layer gave the signal to stop. */
export class UpstreamAbortedError extends UpstreamError {
  readonly code = 'upstream_aborted';
}

/** An order carried an old fencing number. */
export class OrderFencedError extends UpstreamError {
  readonly code = 'order_fenced';
}

/** Errors of the stand-ins. The HTTP edge answers with their status, headers and body. */
import { SnipehavenError } from '@snipehaven/common';
import { MS_PER_SECOND, NOT_STARTED_HEADER } from './constants.js';

/** An error that the HTTP edge turns into an answer. */
export abstract class StandinError extends SnipehavenError {
  abstract readonly status: number;

  readonly headers: Readonly<Record<string, string>> = {};

  /** The JSON body of the answer. */
  getBody(): unknown {
    return { error: { message: this.message, code: this.code } };
  }
}

const getRetryAfter = (retryAfterMs: number): string =>
  String(Math.ceil(retryAfterMs / MS_PER_SECOND));

/** The call's body or path is not understood; nothing was done. */
export class InvalidCallError extends StandinError {
  readonly code = 'invalid_call';

  readonly status = 400;
}

export class NotFoundError extends StandinError {
  readonly code = 'not_found';

  readonly status = 404;
}

/** The engine has no such stream in its memory, which reaches back to `bootMs`. */
export class UnknownStreamError extends StandinError {
  readonly code = 'unknown_stream';

  readonly status = 404;

  constructor(
    streamId: string,
    readonly bootMs: number,
  ) {
    super(`no stream ${streamId}`);
  }

  override getBody(): unknown {
    return { error: { message: this.message, code: this.code }, bootMs: this.bootMs };
  }
}

/** The service is down; nothing was done. */
export class UnavailableError extends StandinError {
  readonly code = 'unavailable';

  readonly status = 503;
}

/** Over the rate limit; nothing was done. */
export class RateLimitedError extends StandinError {
  readonly code = 'rate_limited';

  readonly status = 429;

  override readonly headers: Readonly<Record<string, string>>;

  constructor(readonly retryAfterMs: number) {
    super('rate limit exceeded');
    this.headers = { 'retry-after': getRetryAfter(retryAfterMs) };
  }
}

/** The connection broke: the caller can't know whether the call took effect. */
export class ConnectionLostError extends StandinError {
  readonly code = 'connection_lost';

  /** Never sent: the edge breaks the connection instead. */
  readonly status = 502;
}

/** An upstream refused a request before anything of it ran. */
export class NotStartedError extends StandinError {
  readonly code = 'not_started';

  override readonly headers: Readonly<Record<string, string>>;

  constructor(
    reason: string,
    readonly status: 429 | 503 = 503,
    retryAfterMs?: number,
  ) {
    super(reason);
    this.headers = {
      [NOT_STARTED_HEADER]: 'true',
      ...(retryAfterMs === undefined ? {} : { 'retry-after': getRetryAfter(retryAfterMs) }),
    };
  }
}

/** A stream of this id was started before; nothing ran now. */
export class DuplicateStreamError extends StandinError {
  readonly code = 'duplicate_stream';

  readonly status = 409;
}

/** An order or call carried a fencing number below the highest one seen. */
export class StaleFenceError extends StandinError {
  readonly code = 'stale_fence';

  readonly status = 409;

  constructor(readonly fence: number) {
    super(`fence is below ${fence}`);
  }

  override getBody(): unknown {
    return { error: { message: this.message, code: this.code }, fence: this.fence };
  }
}

/** The upstream failed the request after it ran or began to run. */
export class RunFailedError extends StandinError {
  readonly code = 'run_failed';

  readonly status = 500;
}

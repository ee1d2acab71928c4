/** Refusals: the error responses of the request path. */
import { SnipehavenError } from '@snipehaven/common';
import { DEFAULT_RETRY_AFTER_MS, HTTP } from './constants.js';
import type { RunTracker, RunVerdict } from './runTracker.js';

/** The HTTP status and OpenAI error type of each kind of refusal. */
const refusalKinds = {
  invalidRequest: { status: HTTP.badRequest, type: 'invalid_request_error', isRetryable: false },
  unauthorized: { status: HTTP.unauthorized, type: 'authentication_error', isRetryable: false },
  forbidden: { status: HTTP.forbidden, type: 'permission_error', isRetryable: false },
  unknownModel: { status: HTTP.notFound, type: 'invalid_request_error', isRetryable: false },
  unknownPath: { status: HTTP.notFound, type: 'invalid_request_error', isRetryable: false },
  bodyTooLarge: { status: HTTP.payloadTooLarge, type: 'invalid_request_error', isRetryable: false },
  headersTooLarge: {
    status: HTTP.headersTooLarge,
    type: 'invalid_request_error',
    isRetryable: false,
  },
  requestTimeout: {
    status: HTTP.requestTimeout,
    type: 'invalid_request_error',
    isRetryable: false,
  },
  differentBody: { status: HTTP.unprocessable, type: 'invalid_request_error', isRetryable: false },
  inProgress: { status: HTTP.conflict, type: 'conflict_error', isRetryable: true },
  outcomeUnknown: { status: HTTP.conflict, type: 'conflict_error', isRetryable: false },
  rateLimited: { status: HTTP.tooManyRequests, type: 'rate_limit_error', isRetryable: true },
  spendLimited: { status: HTTP.paymentRequired, type: 'rate_limit_error', isRetryable: true },
  overloaded: { status: HTTP.unavailable, type: 'overloaded_error', isRetryable: true },
  noUpstream: { status: HTTP.unavailable, type: 'overloaded_error', isRetryable: true },
  platformAway: { status: HTTP.unavailable, type: 'overloaded_error', isRetryable: true },
  held: { status: HTTP.unavailable, type: 'api_error', isRetryable: true },
  notReady: { status: HTTP.unavailable, type: 'overloaded_error', isRetryable: true },
  upstreamFailed: { status: HTTP.badGateway, type: 'api_error', isRetryable: true },
  deadlineExceeded: { status: HTTP.gatewayTimeout, type: 'timeout_error', isRetryable: true },
  callerGone: { status: HTTP.badRequest, type: 'invalid_request_error', isRetryable: false },
} as const;

export type RefusalKind = keyof typeof refusalKinds;

/**
 * Refusals that report on an earlier request with the same idempotency key. This request did not
 * run but the earlier one may have, so the caller must not conclude that the work was not done.
 */
const kindsAboutEarlierRequest: ReadonlySet<RefusalKind> = new Set([
  'inProgress',
  'outcomeUnknown',
]);

/** The final response to a request that got no complete answer. */
export class Refusal extends SnipehavenError {
  readonly code: RefusalKind;

  readonly status: number;

  /** OpenAI's `error.type`. */
  readonly type: string;

  readonly verdict: RunVerdict;

  /** When to retry; undefined if a retry cannot succeed. */
  readonly retryAfterMs: number | undefined;

  constructor(
    kind: RefusalKind,
    message: string,
    tracker: RunTracker,
    options: ErrorOptions & { readonly retryAfterMs?: number | undefined } = {},
  ) {
    super(message, options);
    const { status, type, isRetryable } = refusalKinds[kind];
    this.code = kind;
    this.status = status;
    this.type = type;
    this.verdict = kindsAboutEarlierRequest.has(kind) ? 'unknown' : tracker.getVerdict();
    this.retryAfterMs = isRetryable ? (options.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS) : undefined;
  }
}

/** Header names and limits of the request path. */

/** Request headers. */
export const TASK_HEADER = 'x-snipehaven-task';
export const SESSION_HEADER = 'x-snipehaven-session';
export const CALLER_SESSION_HEADER = 'x-session-id';
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
export const NON_IDEMPOTENT_HEADER = 'x-snipehaven-non-idempotent';
export const DEADLINE_HEADER = 'x-snipehaven-deadline-ms';
export const PRIORITY_HEADER = 'x-snipehaven-priority';

/** Response headers. */
export const REQUEST_ID_HEADER = 'x-request-id';
export const VERSION_HEADER = 'x-snipehaven-version';
export const PLAN_HEADER = 'x-snipehaven-plan';
export const RUN_HEADER = 'x-snipehaven-run';
export const SESSION_MOVED_HEADER = 'x-snipehaven-session-moved';
export const REPLAYED_HEADER = 'x-snipehaven-replayed';

/** The model name with which a caller lets the router choose the model. */
export const AUTO_MODEL = 'auto';

export const CHARS_PER_TOKEN = 4;
export const DEFAULT_COMPLETION_TOKENS = 200;
export const PREFIX_CHARS = 256;
export const PREFIX_DIGEST_CHARS = 16;

export const MAX_RESUMES = 4;
export const RESUME_BACKOFF_MS = 50;
/** How long an upstream may still be sent work after it was first known to be leaving. */
export const LEAVING_GRACE_MS = 2_000;
export const RATING_COST_MICRO_USD = 20;
export const RATING_EXPECTED_MS = 60;
export const TOKENS_PER_PRICE_UNIT = 1_000_000;
export const DEFAULT_RETRY_AFTER_MS = 1_000;
export const HTTP = {
  badRequest: 400,
  unauthorized: 401,
  paymentRequired: 402,
  forbidden: 403,
  notFound: 404,
  requestTimeout: 408,
  conflict: 409,
  payloadTooLarge: 413,
  unprocessable: 422,
  tooManyRequests: 429,
  headersTooLarge: 431,
  badGateway: 502,
  unavailable: 503,
  gatewayTimeout: 504,
} as const;

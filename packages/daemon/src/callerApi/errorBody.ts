/** A refusal in OpenAI's shape. */
import { RUN_HEADER, type Refusal } from '@snipehaven/routing';

const MS_PER_SECOND = 1_000;

/** The `error` object that callers' libraries read. */
export const toErrorBody = (refusal: Refusal): object => ({
  error: {
    message: refusal.message,
    type: refusal.type,
    code: refusal.code,
    param: null,
    run: refusal.verdict,
    ...(refusal.retryAfterMs === undefined ? {} : { retryAfterMs: refusal.retryAfterMs }),
  },
});

const getRetryHeaders = ({ retryAfterMs }: Refusal): Readonly<Record<string, string>> =>
  retryAfterMs === undefined
    ? {}
    : {
        'retry-after': String(Math.ceil(retryAfterMs / MS_PER_SECOND)),
        'retry-after-ms': String(Math.ceil(retryAfterMs)),
      };

/** The headers that go with the body. */
export const getErrorHeaders = (
  refusal: Refusal,
  body: string,
): Readonly<Record<string, string | number>> => ({
  'content-type': 'application/json',
  'content-length': Buffer.byteLength(body),
  [RUN_HEADER]: refusal.verdict,
  ...getRetryHeaders(refusal),
});

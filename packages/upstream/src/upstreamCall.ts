/** One HTTP request to an upstream, its failures turned into this layer's errors. */
import { errors, type Dispatcher, type Pool } from 'undici';
import { getErrorMessage, isNotSent } from '@snipehaven/common';
import { MS_PER_SECOND, NOT_STARTED_HEADER } from './constants.js';
import {
  UpstreamAbortedError,
  UpstreamBrokenError,
  UpstreamFailedError,
  UpstreamNotStartedError,
  UpstreamSilentError,
} from './errors.js';

const HTTP_OK_LIMIT = 300;

const isTimeout = (error: unknown): boolean =>
  error instanceof errors.HeadersTimeoutError ||
  error instanceof errors.BodyTimeoutError ||
  (error instanceof Error && error.name === 'TimeoutError');

/** Turns a failure of the HTTP library into this layer's errors. */
export const toUpstreamError = (error: unknown, url: string, signal?: AbortSignal): Error => {
  const options = { cause: error };
  const message = `${url}: ${getErrorMessage(error)}`;
  if (isTimeout(error)) {
    return new UpstreamSilentError(message, options);
  }
  if (signal?.aborted) {
    return new UpstreamAbortedError(message, options);
  }
  return isNotSent(error)
    ? new UpstreamNotStartedError(message, options)
    : new UpstreamBrokenError(message, options);
};

const getRetryAfter = (response: Dispatcher.ResponseData): { retryAfterMs?: number } => {
  const seconds = Number(response.headers['retry-after']);
  return Number.isFinite(seconds) ? { retryAfterMs: seconds * MS_PER_SECOND } : {};
};

const MAX_ERROR_TEXT = 300;

/** Throws the error that a refusing or failing answer stands for. */
export const throwUnlessOk = async (
  response: Dispatcher.ResponseData,
  url: string,
): Promise<void> => {
  if (response.statusCode < HTTP_OK_LIMIT) {
    return;
  }
  const text = (await response.body.text()).slice(0, MAX_ERROR_TEXT);
  const message = `${url} answered ${response.statusCode}: ${text}`;
  if (response.headers[NOT_STARTED_HEADER] === 'true') {
    throw new UpstreamNotStartedError(message, getRetryAfter(response));
  }
  throw new UpstreamFailedError(response.statusCode, message, text);
};

/** Sends a request over the pool; resolves with its headers and unread body. */
export const sendRequest = async (
  pool: Pool,
  url: string,
  options: Dispatcher.RequestOptions,
  signal?: AbortSignal,
): Promise<Dispatcher.ResponseData> => {
  try {
    return await pool.request(signal ? { ...options, signal } : options);
  } catch (error) {
    throw toUpstreamError(error, url, signal);
  }
};

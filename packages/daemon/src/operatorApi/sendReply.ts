/** Writes the answers of the operator API. */
import type { ServerResponse } from 'node:http';
import { getErrorMessage, SnipehavenError, type Logger } from '@snipehaven/common';
import { ResourceInvalidError } from '@snipehaven/resources';
import { RETRY_AFTER_S } from './constants.js';
import { OperatorApiError } from './errors.js';
import type { OperatorReply } from './types.js';

const sendBody = (
  response: ServerResponse,
  status: number,
  contentType: string,
  body: string,
): void => {
  response.writeHead(status, {
    'content-type': contentType,
    'content-length': Buffer.byteLength(body),
    'cache-control': 'no-store',
  });
  response.end(body);
};

const sendJson = (response: ServerResponse, status: number, body: unknown): void =>
  sendBody(response, status, 'application/json', `${JSON.stringify(body)}\n`);

/** Writes an action's reply. */
export const sendReply = (response: ServerResponse, reply: OperatorReply): void => {
  if (reply.type === 'json') {
    sendJson(response, reply.status, reply.body);
  }
  if (reply.type === 'text') {
    sendBody(response, reply.status, 'text/plain; version=0.0.4; charset=utf-8', reply.text);
  }
};

interface ErrorAnswer {
  readonly status: number;
  readonly error: { readonly code: string; readonly message: string };
}

/** Statuses of the errors that come from other packages, by their code. */
const foreignStatuses: Readonly<Record<string, number>> = {
  configuration_conflict: 409,
  configuration_not_found: 404,
  safe_move_raced: 409,
  configuration_unavailable: 503,
  configuration_outcome_unknown: 503,
  platform_refused: 503,
  platform_outcome_unknown: 503,
};

const INTERNAL_STATUS = 500;
const UNAVAILABLE_STATUS = 503;
const INVALID_STATUS = 422;

const toAnswer = (error: unknown): ErrorAnswer => {
  if (error instanceof OperatorApiError) {
    const { code, message, detail } = error;
    return { status: error.status, error: { code, message, ...detail } };
  }
  if (error instanceof ResourceInvalidError) {
    const { code, message, issues } = error;
    return { status: INVALID_STATUS, error: { code, message, ...{ issues } } };
  }
  if (error instanceof SnipehavenError && foreignStatuses[error.code] !== undefined) {
    const status = foreignStatuses[error.code] ?? INTERNAL_STATUS;
    return { status, error: { code: error.code, message: error.message } };
  }
  return {
    status: INTERNAL_STATUS,
    error: { code: 'internal', message: 'the daemon failed; its log tells more' },
  };
};

/**
 * The rest of a refused body is read and dropped, and the connection ended: otherwise the next call
 * on it would be parsed from the middle of that body.
 */
const closeAfterRefusedBody = (response: ServerResponse): void => {
  if (!response.req.complete) {
    response.setHeader('connection', 'close');
    response.req.resume();
  }
};

const setErrorHeaders = (response: ServerResponse, error: unknown, status: number): void => {
  if (error instanceof OperatorApiError && error.detail.allow !== undefined) {
    response.setHeader('allow', error.detail.allow.join(', '));
  }
  if (status === UNAVAILABLE_STATUS) {
    response.setHeader('retry-after', RETRY_AFTER_S);
  }
  closeAfterRefusedBody(response);
};

/** Answers with the error; one that is no fault of the caller is logged. */
export const sendError = (response: ServerResponse, error: unknown, logger: Logger): void => {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const answer = toAnswer(error);
  if (answer.status === INTERNAL_STATUS) {
    logger.error({ error: getErrorMessage(error) }, 'operator call failed');
  }
  setErrorHeaders(response, error, answer.status);
  sendJson(response, answer.status, { error: answer.error });
};

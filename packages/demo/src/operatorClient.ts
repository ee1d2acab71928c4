/** Writes resources and withdrawals through a daemon's operator API. */
import { randomUUID } from 'node:crypto';
import { request } from 'undici';
import { demoSecrets } from './daemonSettings.js';

export interface OperatorAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Calls the operator API; any status is an answer. */
export const callOperatorApi = async (
  operatorsUrl: string,
  method: 'GET' | 'PUT' | 'POST' | 'DELETE',
  path: string,
  body?: unknown,
): Promise<OperatorAnswer> => {
  const answer = await request(`${operatorsUrl}${path}`, {
    method,
    headers: {
      authorization: `Bearer ${demoSecrets.operatorToken}`,
      'content-type': 'application/json',
      'x-client-request-id': randomUUID(),
    },
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
  });
  const text = await answer.body.text();
  return { status: answer.statusCode, body: text === '' ? undefined : JSON.parse(text) };
};

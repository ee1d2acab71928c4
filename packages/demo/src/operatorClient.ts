/** Writes resources and withdrawals through a daemon's operator API. */
import { randomUUID } from 'node:crypto';
import { request } from 'undici';
import { demoSecrets } from './daemonSettings.js';

export interface OperatorAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Longest silence of the operator API, where the call gives none. */
const CALL_TIMEOUT_MS = 300_000;

/** Calls the operator API; any status is an answer. */
export const callOperatorApi = async (
  operatorsUrl: string,
  method: 'GET' | 'PUT' | 'POST' | 'DELETE',
  path: string,
  body?: unknown,
  timeoutMs = CALL_TIMEOUT_MS,
): Promise<OperatorAnswer> => {
  const answer = await request(`${operatorsUrl}${path}`, {
    method,
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
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

const UNAVAILABLE = 503;
const PUT_RETRY_MS = 200;
const PUT_TIMEOUT_MS = 15_000;

/** Writes a resource, waiting for a daemon that has no configuration yet; throws where it is refused. */
export const putResource = async (
  operatorsUrl: string,
  kind: string,
  name: string,
  spec: object,
): Promise<void> => {
  const path = `/api/resources/${kind}/${encodeURIComponent(name)}`;
  const giveUpAtMs = Date.now() + PUT_TIMEOUT_MS;
  for (;;) {
    const answer = await callOperatorApi(operatorsUrl, 'PUT', path, {
      kind,
      metadata: { name },
      spec,
    });
    if (answer.status < 300) {
      return;
    }
    if (answer.status !== UNAVAILABLE || Date.now() > giveUpAtMs) {
      throw new Error(`${kind} ${name}: ${answer.status} ${JSON.stringify(answer.body)}`);
    }
    await new Promise((resolve) => {
      setTimeout(resolve, PUT_RETRY_MS);
    });
  }
};

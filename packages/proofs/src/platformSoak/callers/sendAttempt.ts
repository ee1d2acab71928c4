/** Sends one caller attempt and records what the caller saw of it. */
import { request as sendRequest, type Agent, type IncomingMessage } from 'node:http';
import { HOST } from '@snipehaven/standins';
import { CALLER_DEADLINE_MS } from '../constants.js';
import { Fleet } from '../fleet.js';
import type { AttemptRecord, RequestKind, VmState } from '../types.js';
import type { Team } from '../outside/operator.js';

export interface AttemptPlan {
  readonly id: string;
  readonly kind: RequestKind;
  /** Begins with a slash; the route's own path without. */
  readonly path?: string;
  readonly team: Team;
  readonly vm: VmState;
  readonly agent: Agent;
  readonly session?: string;
  /** Part of the prompt, after the one that all prompts begin with. */
  readonly part?: string;
  /** In place of the usual one; sent with a body. */
  readonly question?: string;
  /** The caller leaves after this. */
  readonly leavesAfterMs?: number;
}

/** Beyond the caller's deadline: an answer that comes later still is not waited for. */
const PATIENCE_MS = 2_500;

const USUAL_QUESTION = 'the question';

const methods: Readonly<Record<RequestKind, string>> = { read: 'GET', write: 'POST', chat: 'POST' };

const buildHeaders = (plan: AttemptPlan): Record<string, string> => ({
  Host: HOST,
  'X-Attempt-Id': plan.id,
  'X-Deadline-Remaining': String(CALLER_DEADLINE_MS),
  Authorization: `Token ${plan.team.key}`,
  ...(plan.session === undefined ? {} : { Session: plan.session }),
  ...(plan.kind === 'chat'
    ? {
        'X-Model': '*',
        'X-Token-Usage': '300,40',
        'X-Prompt-Prefix': `5c:200,${plan.part ?? plan.id.length}:100,${plan.id}:20`,
      }
    : {}),
});

const takeAnswer = (record: AttemptRecord, response: IncomingMessage): void => {
  const { headers } = response;
  const signature = headers['x-response-signature'];
  const retryAfter = headers['retry-after'];
  Object.assign(record, {
    status: response.statusCode,
    signature: typeof signature === 'string' ? signature : undefined,
    retryAfterS: retryAfter === undefined ? undefined : Number(retryAfter),
  });
  response.setEncoding('utf8');
  response.on('data', (text: string) => {
    Object.assign(record, { body: record.body + text });
  });
  response.on('error', () => {
    // The error of the request, or `complete`, tells it.
  });
};

/** Resolves when the answer or its connection has ended, whatever came of it. */
export const sendAttempt = (plan: AttemptPlan, records: AttemptRecord[]): Promise<AttemptRecord> =>
  new Promise((resolve) => {
    const request = sendRequest({
      ...Fleet.getCallerAddress(plan.vm),
      path: plan.path ?? `/${plan.kind}/it`,
      method: methods[plan.kind],
      headers: buildHeaders(plan),
      agent: plan.agent,
    });
    const record: AttemptRecord = {
      id: plan.id,
      kind: plan.kind,
      key: plan.team.key,
      team: plan.team.name,
      vm: plan.vm.name,
      ...(plan.question === undefined ? {} : { question: plan.question }),
      ...(plan.part === undefined ? {} : { part: plan.part }),
      ...(plan.session === undefined ? {} : { session: plan.session }),
      sentAtMs: performance.now(),
      endedAtMs: undefined,
      status: undefined,
      signature: undefined,
      retryAfterS: undefined,
      body: '',
      isWhole: false,
      cancelledAtMs: undefined,
    };
    records.push(record);
    const leave = (): void => {
      record.cancelledAtMs = performance.now();
      request.destroy();
    };
    const leavesAfterMs = plan.leavesAfterMs ?? CALLER_DEADLINE_MS + PATIENCE_MS;
    const timer = setTimeout(leave, leavesAfterMs);
    const end = (): void => {
      clearTimeout(timer);
      record.endedAtMs ??= performance.now();
      resolve(record);
    };
    let hasFailed = false;
    request.on('response', (response) => {
      takeAnswer(record, response);
      response.on('close', () => {
        // An answer that ends with its connection counts as complete here even if that was reset.
        record.isWhole = response.complete && !hasFailed;
        end();
      });
    });
    request.on('error', () => {
      hasFailed = true;
      end();
    });
    request.end(plan.question ?? (plan.kind === 'read' ? undefined : USUAL_QUESTION));
  });

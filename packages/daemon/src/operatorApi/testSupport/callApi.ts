/** Calls of the operator API as a test makes them. */
import { request, type IncomingHttpHeaders } from 'node:http';
import { text } from 'node:stream/consumers';
import { WRITE_TOKEN, type FakeOperatorApi } from './fakeOperatorApi.js';

export interface TestCall {
  readonly method?: string;
  readonly token?: string | undefined;
  /** Sent as JSON, unless it is text already. */
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

export interface TestReply {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** The parsed body; tests look into it freely. */
  readonly body: any;
}

const toText = (body: unknown): string => (typeof body === 'string' ? body : JSON.stringify(body));

const parse = (answer: string): unknown => {
  try {
    return JSON.parse(answer) as unknown;
  } catch {
    return answer;
  }
};

const send = (
  url: URL,
  method: string,
  headers: Readonly<Record<string, string>>,
  body: unknown,
): Promise<TestReply> =>
  new Promise((resolve, reject) => {
    const call = request(url, { method, headers }, (response) => {
      text(response).then(
        (answer) =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: parse(answer),
          }),
        reject,
      );
    });
    call.on('error', reject);
    call.end(body === undefined ? undefined : toText(body));
  });

/** Makes one call, as the operator who may write unless told otherwise. */
export const callApi = async (
  api: FakeOperatorApi,
  path: string,
  call: TestCall = {},
): Promise<TestReply> => {
  const token = 'token' in call ? call.token : WRITE_TOKEN;
  const headers = {
    ...(token === undefined ? {} : { authorization: `Bearer ${token}` }),
    ...call.headers,
  };
  return send(new URL(path, api.url), call.method ?? 'GET', headers, call.body);
};

/** A model's manifest. */
export const createModel = (name: string, description: string, resourceVersion?: number) => ({
  kind: 'Model',
  metadata: { name, ...(resourceVersion === undefined ? {} : { resourceVersion }) },
  spec: { description },
});

/** Applies a model under its own name. */
export const putModel = (
  api: FakeOperatorApi,
  description: string,
  resourceVersion?: number,
  headers?: Readonly<Record<string, string>>,
): Promise<TestReply> =>
  callApi(api, '/api/resources/Model/small', {
    method: 'PUT',
    body: createModel('small', description, resourceVersion),
    ...(headers === undefined ? {} : { headers }),
  });

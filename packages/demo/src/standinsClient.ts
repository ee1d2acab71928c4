/** Asks the stand-ins for the truth and makes them misbehave. */
import type { EngineTruth, ServiceTruth, StandinAddresses } from '@snipehaven/standins';
import { request } from 'undici';

const call = async (url: string, method: 'GET' | 'POST', body?: unknown): Promise<unknown> => {
  const answer = await request(url, {
    method,
    ...(body === undefined
      ? {}
      : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
  });
  const text = await answer.body.text();
  if (answer.statusCode >= 300) {
    throw new Error(`${method} ${url} answered ${answer.statusCode}: ${text}`);
  }
  return text === '' ? undefined : JSON.parse(text);
};

/** Changes the faults of the stand-in at the URL. */
export const controlStandin = async (url: string, control: unknown): Promise<void> => {
  await call(`${url}/control`, 'POST', control);
};

/** What really happened at the stand-in; the table's takes a query, `prefix=p`, for its rows. */
export const readTruth = async <Truth>(url: string, query = ''): Promise<Truth> =>
  (await call(`${url}/truth?${query}`, 'GET')) as Truth;

/** What really happened at the upstreams. */
export interface UpstreamsTruth {
  readonly engines: readonly EngineTruth[];
  readonly services: readonly ServiceTruth[];
}

export const readUpstreamsTruth = async (addresses: StandinAddresses): Promise<UpstreamsTruth> => ({
  engines: await Promise.all(addresses.engines.map(({ url }) => readTruth<EngineTruth>(url))),
  services: await Promise.all(addresses.services.map(({ url }) => readTruth<ServiceTruth>(url))),
});

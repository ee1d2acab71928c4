import * as assert from 'uvu/assert';
import { test } from 'uvu';
import { request } from 'undici';
import { restoreStandinsConfig } from './standinsConfig.js';
import { getAddresses, startStandins } from './startStandins.js';

const CONFIG = JSON.stringify({
  platform: {
    listen: { address: '127.0.4.1' },
    vmList: {
      lagMs: 0,
      vms: [{ name: 'a', role: 'entry', dataCentre: 'd', address: '127.0.0.1:1', state: 'live' }],
    },
  },
  engines: [{ name: 'e', listen: { address: '127.0.4.2' }, versions: ['small@1'], tokenMs: 0 }],
  services: [{ name: 's', onceOnlyPaths: ['/filings'] }],
});

const call = async (url: string, body?: object | string): Promise<[number, unknown]> => {
  const text = typeof body === 'string' ? body : JSON.stringify(body);
  const response = await request(url, body ? { method: 'POST', body: text } : {});
  return [response.statusCode, await response.body.json()];
};

test('starts from a configuration and speaks the outside protocols', async () => {
  const standins = await startStandins(restoreStandinsConfig(CONFIG));
  try {
    const urls = getAddresses(standins);
    assert.ok(urls.tableUrl?.startsWith('http://127.0.4.1:'));
    assert.ok(urls.engines[0]?.url.startsWith('http://127.0.4.2:'));
    const writes = [{ key: 'a', value: { n: 1 } }];
    const conditions = [{ key: 'a', version: 0 }];
    assert.equal(
      await call(`${urls.tableUrl}/table/transact`, { transactions: [{ conditions, writes }] }),
      [200, { results: [{ kind: 'committed', versions: [{ key: 'a', version: 1 }] }] }],
    );
    const rows = [{ key: 'a', value: { n: 1 }, version: 1 }];
    assert.equal(await call(`${urls.tableUrl}/table/read`, { keys: ['a', 'b'] }), [200, { rows }]);
    assert.equal(await call(`${urls.tableUrl}/table/scan`, { prefix: '', limit: 5 }), [
      200,
      { rows },
    ]);
    assert.is((await call(`${urls.tableUrl}/table/read`, 'no JSON'))[0], 400);
    const put = await request(`${urls.objectStoreUrl}/objects/x%2Fy`, { method: 'PUT', body: 'z' });
    assert.is(put.statusCode, 200);
    await put.body.dump();
    assert.equal(await call(`${urls.objectStoreUrl}/objects?prefix=x/`), [200, { names: ['x/y'] }]);
    assert.is((await call(`${urls.objectStoreUrl}/objects/none`))[0], 404);
    const [, { vms }] = (await call(`${urls.vmListUrl}/vms`)) as [number, { vms: unknown[] }];
    assert.is(vms.length, 1);
    const rating = { id: '1', team: 't', task: 'k', version: 'v', prompt: 'p', answer: 'a' };
    assert.is((await call(`${urls.raterUrl}/ratings`, { ratings: [rating] }))[0], 202);
    assert.is((await call(`${urls.raterUrl}/rate`, rating))[0], 200);
    assert.equal(await call(`${urls.raterUrl}/ratings?after=0&limit=5`), [
      200,
      { ratings: [], lastSeq: 0 },
    ]);
    assert.is((await call(`${urls.weightStoreUrl}/weights/small@1`))[0], 200);
    assert.is((await call(`${urls.services[0]?.url}/filings/1`, { a: 1 }))[0], 200);
    assert.is((await call(`${urls.tableUrl}/control`, { faults: { isDown: true } }))[0], 200);
    assert.is((await call(`${urls.tableUrl}/table/read`, { keys: [] }))[0], 503);
  } finally {
    await standins.stop();
  }
});

test('refuses a configuration with an unknown field', () => {
  assert.throws(() => restoreStandinsConfig('{ "engine": [] }'));
});

test.run();

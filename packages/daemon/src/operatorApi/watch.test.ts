import { createInterface } from 'node:readline';
import { get, type ClientRequest, type IncomingMessage } from 'node:http';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { callApi, putModel } from './testSupport/callApi.js';
import { READ_TOKEN, type FakeOperatorApi } from './testSupport/fakeOperatorApi.js';
import { withFakeApi } from './testSupport/withFakeApi.js';

interface Line {
  readonly type: string;
  readonly revision: number;
  readonly name?: string;
}

/** A watch as a client reads it. */
class TestWatch {
  readonly #request: ClientRequest;

  readonly #lines: AsyncIterator<string>;

  private constructor(request: ClientRequest, response: IncomingMessage) {
    this.#request = request;
    this.#lines = createInterface({ input: response })[Symbol.asyncIterator]();
  }

  static open(api: FakeOperatorApi, query: string): Promise<TestWatch> {
    return new Promise((resolve) => {
      const headers = { authorization: `Bearer ${READ_TOKEN}` };
      const request = get(new URL(`/api/watch${query}`, api.url), { headers }, (response) =>
        resolve(new TestWatch(request, response)),
      );
      request.on('error', () => undefined);
    });
  }

  /** The next line that is no bookmark; undefined at the end. */
  async next(): Promise<Line | undefined> {
    for (;;) {
      const { value, done } = await this.#lines.next();
      if (done === true) {
        return undefined;
      }
      const line = JSON.parse(value) as Line;
      if (line.type !== 'bookmark') {
        return line;
      }
    }
  }

  cut(): void {
    this.#request.destroy();
  }
}

const readRevisions = async (watch: TestWatch, count: number): Promise<readonly unknown[]> => {
  const revisions: unknown[] = [];
  while (revisions.length < count) {
    revisions.push((await watch.next())?.revision);
  }
  return revisions;
};

// Symptom: a watcher shows a state that never was in force, for it missed a change.
// Sequence: the connection breaks; resources change; the watcher comes back.
// Cause: a stream that starts with "now" instead of with the revision that the watcher has.
test(
  'a watch goes on after a reconnect without gap or repeat',
  withFakeApi(async (api) => {
    await putModel(api, 'one');
    const first = await TestWatch.open(api, '?afterRevision=0');
    await putModel(api, 'two');
    assert.equal(await readRevisions(first, 2), [1, 2]);
    first.cut();
    await putModel(api, 'three');
    await putModel(api, 'four');
    const second = await TestWatch.open(api, '?afterRevision=2');
    await putModel(api, 'five');
    assert.equal(await readRevisions(second, 3), [3, 4, 5]);
    second.cut();
  }),
);

test(
  'says 410 when the history is gone',
  withFakeApi(async (api) => {
    const { configuration } = api.state;
    configuration.historyLimit = 1;
    await putModel(api, 'one');
    await putModel(api, 'two');
    const reply = await callApi(api, '/api/watch?afterRevision=0');
    assert.is(reply.status, 410);
    assert.is(reply.body.error.code, 'history_gone');
    assert.is(reply.body.error.revision, 2);
    assert.is((await callApi(api, '/api/watch?kind=Gadget')).status, 404);
  }),
);

test(
  'filters by kind, tells safe moves, and ends at shutdown without a listener left',
  withFakeApi(async (api) => {
    await api.state.safeMoves.activate('withdraw', 'small@1', '', 'alice');
    const all = await TestWatch.open(api, '');
    const teams = await TestWatch.open(api, '?kind=Team');
    assert.is((await all.next())?.type, 'safeMove');
    await putModel(api, 'one');
    assert.is((await all.next())?.name, 'small');
    assert.is(api.state.configuration.listenerCount, 2);
    api.state.stop.abort();
    assert.is(await teams.next(), undefined);
    assert.is(await all.next(), undefined);
    assert.is(api.state.configuration.listenerCount, 0);
  }),
);

test.run();

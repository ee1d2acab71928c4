import { install } from '@sinonjs/fake-timers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { WATCH_SILENCE_MS } from '../constants.js';
import { startFakeApi, type FakeApi } from '../testSupport/fakeApi.js';
import { HttpCaller } from './httpCaller.js';
import { watchChanges, type WatchEvent } from './watchChanges.js';

const line = (revision: number): string =>
  `${JSON.stringify({ type: 'change', revision, kind: 'Model', name: 'm' })}\n`;

/** Answers a watch with one change, and then ends it or says nothing for good. */
const serveChange = (api: FakeApi, revision: number): void => {
  api.handlers.set('GET /api/watch', (_call, response) => {
    response.write(line(revision));
    return undefined;
  });
};

const waitRealTurns = async (turns: number): Promise<void> => {
  for (let turn = 0; turn < turns; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
};

// Symptom: a watcher shows no changes any more, and no error.
// Sequence: a stream is open; something on the way forgets it; neither end is told.
// Cause: a quiet system looks the same as a dead connection, unless bookmarks are missed.
test('leaves a silent connection and goes on at the next daemon', async () => {
  const [silent, next] = await Promise.all([startFakeApi(), startFakeApi()]);
  serveChange(silent, 1);
  serveChange(next, 2);
  const clock = install({ toFake: ['setTimeout', 'clearTimeout'] });
  const caller = new HttpCaller({ name: 'test', urls: [silent.url, next.url], token: '' });
  const end = new AbortController();
  const events = watchChanges(caller, { afterRevision: 0, signal: end.signal });
  const read = async (): Promise<WatchEvent | undefined> =>
    (await events.next()).value ?? undefined;
  assert.is((await read())?.type, 'change');
  const second = read();
  let isRead = false;
  void second.then(() => {
    isRead = true;
  });
  await waitRealTurns(20);
  assert.is(next.calls.length, 0, 'the silence is not long yet');
  for (let passedMs = 0; !isRead && passedMs < 10 * WATCH_SILENCE_MS; passedMs += 500) {
    clock.tick(500);
    await waitRealTurns(20);
  }
  const event = await second;
  assert.is(event?.type === 'change' && event.revision, 2);
  assert.is(next.calls[0]?.query.get('afterRevision'), '1');
  end.abort();
  await events.return(undefined);
  clock.uninstall();
  await caller.close();
  await Promise.all([silent.close(), next.close()]);
});

test.run();

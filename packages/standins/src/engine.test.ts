import * as assert from 'uvu/assert';
import { test } from 'uvu';
import { getExpectedAnswer, type ChatMessage } from './answers.js';
import { EngineCore } from './engine.js';
import type { EngineOptions, EngineRequest, StreamEnd, StreamEvent } from './engineTypes.js';
import {
  DuplicateStreamError,
  NotStartedError,
  RateLimitedError,
  StaleFenceError,
  UnknownStreamError,
} from './errors.js';
import { withClock } from './testClock.js';

const VERSION = 'small@1';
const MESSAGES: readonly ChatMessage[] = [{ role: 'user', content: 'why did it crash' }];

const createEngine = (options: Partial<EngineOptions> = {}): EngineCore =>
  new EngineCore({
    versions: [VERSION],
    tokenMs: 10,
    tokenMsPerRunning: 0,
    prefillMsPerToken: 0,
    cacheEventLossRate: 0,
    ...options,
  });

const createRequest = (streamId: string, fields: Partial<EngineRequest> = {}): EngineRequest => ({
  streamId,
  versionId: VERSION,
  messages: MESSAGES,
  maxTokens: 4,
  ...fields,
});

interface Received {
  readonly events: StreamEvent[];
  end: StreamEnd | undefined;
}

const receive = (engine: EngineCore, streamId: string, fromId = 0): Received => {
  const received: Received = { events: [], end: undefined };
  engine.resume(streamId, fromId, {
    onEvents: (events) => received.events.push(...events),
    onEnd: (end) => {
      received.end = end;
    },
  });
  return received;
};

const getText = ({ events }: Received): string =>
  events.map(({ data }) => JSON.parse(data).choices[0].delta.content ?? '').join('');

const getIds = ({ events }: Received): readonly number[] => events.map(({ id }) => id);

test('a stream gives a token a step, then its usage and end', () =>
  withClock(async (clock) => {
    const engine = createEngine();
    engine.start(createRequest('s'));
    const received = receive(engine, 's');
    await clock.tickAsync(30);
    assert.equal(getIds(received), [1, 2, 3]);
    assert.is(received.end, undefined);
    assert.is(engine.getState('s').state, 'running');
    await clock.tickAsync(10);
    assert.equal(getIds(received), [1, 2, 3, 4, 5]);
    assert.is(received.end, 'done');
    assert.is(getText(received), getExpectedAnswer('why did it crash', VERSION, 4));
    const { usage } = JSON.parse(received.events.at(-1)?.data ?? '');
    assert.is(usage.completion_tokens, 4);
    assert.is(usage.prompt_tokens, 4);
    assert.equal(engine.getState('s'), {
      state: 'finished',
      promptTokens: 4,
      completionTokens: 4,
      chunks: 5,
    });
  }));

test('a larger batch takes longer for each token', () =>
  withClock(async (clock) => {
    const engine = createEngine({ tokenMsPerRunning: 5 });
    ['a', 'b', 'c'].forEach((id) => engine.start(createRequest(id, { maxTokens: 10 })));
    await clock.tickAsync(90);
    assert.is(engine.getState('a').completionTokens, 5);
  }));

test('waiting streams start by priority, then by arrival; above the limits nothing starts', () =>
  withClock(async (clock) => {
    const engine = createEngine({ maxRunning: 1, maxQueued: 3 });
    engine.start(createRequest('running'));
    engine.start(createRequest('low', { priority: 1 }));
    engine.start(createRequest('high', { priority: 9 }));
    engine.start(createRequest('high2', { priority: 9 }));
    assert.throws(
      () => engine.start(createRequest('over')),
      (error: unknown) => error instanceof NotStartedError,
    );
    await clock.tickAsync(1000);
    const ends = engine.getTruth().streams.map((stream) => [stream.streamId, stream.endedMs]);
    ends.sort((a, b) => Number(a[1]) - Number(b[1]));
    assert.equal(
      ends.map(([streamId]) => streamId),
      ['running', 'high', 'high2', 'low'],
    );
    assert.throws(
      () => engine.getState('over'),
      (error: unknown) => error instanceof UnknownStreamError,
    );
    assert.is(engine.getTruth().refused, 1);
  }));

test('a cached prefix shortens the time to the first token, within limited memory', () =>
  withClock(async (clock) => {
    const engine = createEngine({ prefillMsPerToken: 1, cacheTokens: 1500 });
    const start = async (streamId: string, prompt: string): Promise<number> => {
      engine.start(createRequest(streamId, { messages: [{ role: 'user', content: prompt }] }));
      let waitedMs = 0;
      for (; engine.getState(streamId).completionTokens === 0; waitedMs += 10) {
        await clock.tickAsync(10);
      }
      await clock.tickAsync(100);
      return waitedMs;
    };
    const prompt = 'a'.repeat(4000);
    assert.is(await start('cold', prompt), 1010);
    assert.is(await start('warm', `${prompt}${'b'.repeat(400)}`), 110);
    await start('other', 'c'.repeat(4000));
    assert.is(await start('evicted', prompt), 1010);
  }));

test('cache events come late, numbered, with gaps', () =>
  withClock(async (clock) => {
    const engine = createEngine({ cacheTokens: 4, cacheEventDelayMs: 500 });
    engine.start(createRequest('a'));
    engine.setSizes({ cacheEventLossRate: 1 });
    engine.start(createRequest('b', { messages: [{ role: 'user', content: 'another prompt' }] }));
    await clock.tickAsync(499);
    assert.equal(engine.listCacheEvents(0), { events: [], lastSeq: 0 });
    await clock.tickAsync(1);
    const { events, lastSeq } = engine.listCacheEvents(0);
    assert.equal(
      events.map(({ seq, kind, version }) => [seq, kind, version]),
      [[1, 'added', VERSION]],
    );
    assert.is(lastSeq, 3);
    assert.equal(engine.listCacheEvents(1).events, []);
  }));

test('the load is that of the last publishing', () =>
  withClock(async (clock) => {
    const engine = createEngine({ loadPeriodMs: 300, maxRunning: 1 });
    const startMs = Date.now();
    engine.start(createRequest('a', { maxTokens: 50 }));
    engine.start(createRequest('b', { maxTokens: 50 }));
    await clock.tickAsync(299);
    assert.is(engine.getLoad().running, 0);
    await clock.tickAsync(101);
    const load = engine.getLoad();
    assert.equal([load.running, load.queued, load.atMs], [1, 1, startMs + 300]);
    await clock.tickAsync(1000);
    assert.is(engine.getLoad().running, 0);
  }));

test('a stream outlives its connection, can be resumed and is kept for 60 s', () =>
  withClock(async (clock) => {
    const engine = createEngine();
    engine.setFaults({ dropNext: 1 });
    engine.start(createRequest('s', { maxTokens: 20 }));
    const first = receive(engine, 's');
    await clock.tickAsync(1000);
    assert.is(first.end, 'broken');
    assert.ok(first.events.length < 21);
    const rest = receive(engine, 's', first.events.length);
    assert.is(rest.end, 'done');
    assert.is(getText(first) + getText(rest), getExpectedAnswer('why did it crash', VERSION, 20));
    await clock.tickAsync(59_000);
    assert.is(engine.getState('s').state, 'finished');
    await clock.tickAsync(1000);
    assert.throws(
      () => engine.getState('s'),
      (error: unknown) => error instanceof UnknownStreamError,
    );
    assert.is(engine.getTruth().streams[0]?.isDelivered, true);
  }));

test('a cancelled stream stops and frees its place', () =>
  withClock(async (clock) => {
    const engine = createEngine({ maxRunning: 1 });
    engine.start(createRequest('a', { maxTokens: 100 }));
    engine.start(createRequest('b'));
    const received = receive(engine, 'a');
    await clock.tickAsync(20);
    assert.is(engine.cancel('a').state, 'cancelled');
    assert.is(received.end, 'cancelled');
    await clock.tickAsync(40);
    assert.is(engine.getState('b').state, 'finished');
    assert.is(engine.cancel('b').state, 'finished');
    assert.is(engine.getState('a').completionTokens, 2);
  }));

test('the same stream id twice runs once', () =>
  withClock(async (clock) => {
    // Symptom: a retry runs a request twice.
    // Sequence: a start's reply is lost, the caller starts the same id again.
    // Cause: the engine forgot what it ran; here it must refuse.
    const engine = createEngine();
    engine.start(createRequest('s', { requestKey: 'k' }));
    assert.throws(
      () => engine.start(createRequest('s', { requestKey: 'k' })),
      (error: unknown) => error instanceof DuplicateStreamError,
    );
    await clock.tickAsync(100);
    const { started, duplicates, streams } = engine.getTruth();
    assert.equal([started, duplicates, streams.length], [1, 1, 1]);
    assert.equal([streams[0]?.requestKey, streams[0]?.duplicateStarts], ['k', 1]);
  }));

test('a stream that dies part of the way is never whole', () =>
  withClock(async (clock) => {
    const engine = createEngine();
    engine.setFaults({ crashNext: 1 });
    engine.start(createRequest('s', { maxTokens: 20 }));
    const received = receive(engine, 's');
    await clock.tickAsync(1000);
    assert.is(received.end, 'broken');
    assert.is(engine.getState('s').state, 'cancelled');
    assert.ok(engine.getState('s').completionTokens < 20);
    assert.is(engine.getTruth().crashed, 1);
    assert.is(receive(engine, 's').end, 'broken');
  }));

test('a restart forgets its streams and says since when it remembers', () =>
  withClock(async (clock) => {
    const engine = createEngine();
    engine.start(createRequest('s', { maxTokens: 20 }));
    const received = receive(engine, 's');
    await clock.tickAsync(50);
    engine.restart();
    assert.is(received.end, 'broken');
    assert.throws(
      () => engine.getState('s'),
      (error: unknown) => error instanceof UnknownStreamError && error.bootMs === Date.now(),
    );
    engine.start(createRequest('t'));
    await clock.tickAsync(100);
    assert.is(engine.getState('t').state, 'finished');
    assert.is(engine.getTruth().streams.length, 2);
  }));

test('bad versions: gross, empty, subtle and slow, for a share of the prompts', () =>
  withClock(async (clock) => {
    const engine = createEngine();
    const run = async (kind: 'gross' | 'empty' | 'subtle' | 'slow'): Promise<string> => {
      engine.setFaults({ versionFaults: { [VERSION]: { kind, share: 1, slowFactor: 10 } } });
      engine.start(createRequest(kind, { maxTokens: 8 }));
      await clock.tickAsync(100);
      return engine.getAnswer(kind).text;
    };
    const good = getExpectedAnswer('why did it crash', VERSION, 8);
    assert.is(await run('gross'), getExpectedAnswer('why did it crash', VERSION, 8, 'gross'));
    assert.is(await run('empty'), '');
    const subtle = await run('subtle');
    assert.is(subtle, getExpectedAnswer('why did it crash', VERSION, 8, 'subtle'));
    assert.is.not(subtle, good);
    await run('slow');
    assert.is(engine.getState('slow').completionTokens, 1);
    await clock.tickAsync(1000);
    assert.is(engine.getAnswer('slow').text, good);
    engine.setFaults({ versionFaults: { [VERSION]: { kind: 'gross', share: 0, slowFactor: 1 } } });
    engine.start(createRequest('spared', { maxTokens: 8 }));
    await clock.tickAsync(100);
    assert.is(engine.getAnswer('spared').text, good);
  }));

test('an old fence is refused where fences are checked and obeyed where not', () => {
  [true, false].forEach((checksFences) => {
    const engine = createEngine({ checksFences });
    engine.order({ fence: 5, kind: 'setRole', role: 'prefill' });
    const obeyOld = (): void => engine.order({ fence: 4, kind: 'unloadVersion', version: VERSION });
    if (checksFences) {
      assert.throws(
        obeyOld,
        (error: unknown) => error instanceof StaleFenceError && error.fence === 5,
      );
    } else {
      obeyOld();
    }
    assert.equal(engine.getTruth().versions, checksFences ? [VERSION] : []);
    assert.is(engine.getTruth().orders.at(-1)?.isObeyed, !checksFences);
  });
});

test('a version is loaded once its weights have come', () =>
  withClock(async (clock) => {
    const fetches: number[] = [];
    const fetchWeights = async (): Promise<number> => {
      fetches.push(Date.now());
      if (fetches.length === 1) throw new RateLimitedError(700);
      return 1;
    };
    const engine = createEngine({ versionLoadMs: 1000, fetchWeights, loadPeriodMs: 0 });
    engine.order({ fence: 1, kind: 'loadVersion', version: 'small@2' });
    await clock.tickAsync(1699);
    assert.throws(
      () => engine.start(createRequest('s', { versionId: 'small@2' })),
      (error: unknown) => error instanceof NotStartedError,
    );
    await clock.tickAsync(1);
    assert.equal(engine.getLoad().versions, [VERSION, 'small@2']);
    assert.is(fetches.length, 2);
  }));

test('work given to a leaving engine is refused or recorded', () =>
  withClock(async (clock) => {
    const engine = createEngine();
    engine.setLeaving(true);
    await clock.tickAsync(400);
    assert.ok(engine.getLoad().leaving);
    engine.start(createRequest('s'));
    assert.is(engine.getTruth().streams[0]?.startedAfterLeavingMs, 400);
    const strict = createEngine({ refusesWhenLeaving: true });
    strict.setLeaving(true);
    assert.throws(
      () => strict.start(createRequest('s')),
      (error: unknown) => error instanceof NotStartedError,
    );
  }));

test('without token time a run is over when start returns', () => {
  const engine = createEngine({ tokenMs: 0 });
  engine.start(createRequest('s', { maxTokens: 500 }));
  const received = receive(engine, 's');
  assert.is(received.end, 'done');
  assert.is(getText(received), getExpectedAnswer('why did it crash', VERSION, 500));
});

test('a listener may start further runs', () =>
  withClock(async (clock) => {
    const engine = createEngine();
    engine.start(createRequest('a'));
    engine.resume('a', 0, {
      onEvents: () => {},
      onEnd: () => engine.start(createRequest('b')),
    });
    await clock.tickAsync(1000);
    assert.is(engine.getState('b').state, 'finished');
  }));

test.run();

/** Engines' faults taken for something else. */
import {
  DONE_DATA,
  UpstreamBrokenError,
  UpstreamNotStartedError,
  UpstreamSilentError,
  type EngineClient,
  type EngineEvent,
} from '@snipehaven/upstream';
import { FakeEngines } from '../../harness/index.js';
import type { Proof } from '../types.js';
import { ENGINES, forEach, step } from '../steps.js';

type Events = AsyncIterable<readonly EngineEvent[]>;

const isLost = (error: unknown): boolean =>
  error instanceof UpstreamBrokenError || error instanceof UpstreamSilentError;

/** Passes all methods on, reading started runs through `read`. */
const withReading = (engines: EngineClient, read: (events: Events) => Events): EngineClient => ({
  start: (run, signal) => read(engines.start(run, signal)),
  resume: (run, afterOffset, signal) => engines.resume(run, afterOffset, signal),
  getState: (url, streamId) => engines.getState(url, streamId),
  cancel: (url, streamId) => engines.cancel(url, streamId),
  getLoad: (url) => engines.getLoad(url),
  fetchCacheEvents: (url, afterSeq) => engines.fetchCacheEvents(url, afterSeq),
  order: (url, order) => engines.order(url, order),
});

/** Ends a broken stream as if it were whole. */
async function* endCleanly(events: Events): Events {
  let last = 0;
  try {
    for await (const batch of events) {
      last = batch.at(-1)?.offset ?? last;
      yield batch;
    }
  } catch (error) {
    if (!isLost(error) || last === 0) {
      throw error;
    }
    yield [{ offset: last + 1, data: DONE_DATA }];
  }
}

export const wholeAnswerProof: Proof = {
  promise: 'A caller receives the whole answer to its own request',
  mechanism: 'a broken or silent stream is resumed from its last offset on a new connection',
  faults: "each engine's next streams lose their connection part of the way",
  file: 'packages/routing/src/engineAttempt.ts',
  steps: [
    ...forEach(ENGINES, 'engineDrops', 2),
    ...forEach(6, 'chat', 0, 1),
    step('advance', 60),
    ...forEach(6, 'chat'),
    step('advance', 60),
  ],
  sabotage: {
    rewire: (options) => ({ ...options, engines: withReading(options.engines, endCleanly) }),
  },
  expected: /text differs|final mark/,
};

/** Takes any lost connection for a proof that nothing ran. */
async function* takeLossForProof(events: Events): Events {
  try {
    yield* events;
  } catch (error) {
    if (isLost(error)) {
      throw new UpstreamNotStartedError('lost, so surely not started');
    }
    throw error;
  }
}

export const notRunProof: Proof = {
  promise: 'A refusal that says "not run" is true',
  mechanism: "the verdict is derived from the dispatches; only an upstream's own refusal proves",
  faults: 'connections go silent between the dispatch and the first token',
  file: 'packages/routing/src/runTracker.ts',
  steps: [
    step('chatOnce', 0),
    step('chatOnce', 0, 0, 1),
    ...Array.from({ length: 10 }, () => [step('advanceShort'), step('silence', 0)]).flat(),
    step('advance', 100),
    step('advance', 100),
  ],
  sabotage: {
    rewire: (options) => ({ ...options, engines: withReading(options.engines, takeLossForProof) }),
  },
  expected: /falseNotRun|ranTwice/,
};

export const leavingProof: Proof = {
  promise: 'An upstream that is leaving receives no new work after a few seconds',
  mechanism:
    "the engine's own word and the VM list, whichever comes first, looked at by each choice",
  faults: 'the engines of a data centre leave one after the other',
  file: 'packages/routing/src/upstreamRegistry.ts, upstreamWatcher.ts',
  steps: [
    step('engineLeaves', 0, 1),
    step('engineLeaves', 2, 1),
    step('advance', 100),
    step('advance', 100),
    ...forEach(6, 'chat'),
    ...forEach(6, 'chat', 1),
    step('advance', 60),
  ],
  sabotage: {
    rewire: (options) => {
      const { engines } = options;
      return {
        ...options,
        engines: {
          ...withReading(engines, (events) => events),
          getLoad: async (url) => ({ ...(await engines.getLoad(url)), leaving: false }),
        },
      };
    },
  },
  expected: /after leaving/,
};

/** Keeps to the connection that went silent, as a pool does that trusts its sockets. */
const withOldConnections = (engines: EngineClient): EngineClient => {
  if (!(engines instanceof FakeEngines)) {
    return engines;
  }
  engines.keepSilentConnections();
  return engines;
};

export const silentConnectionProof: Proof = {
  promise: 'Open connections that go silent for good cost no answer',
  mechanism: 'after a silence a new connection, and no connection opened before it',
  faults: "all of a daemon's connections go silent while answers stream",
  file: 'packages/upstream/src/upstreamPools.ts',
  steps: [
    step('chat', 0, 0, 1),
    step('chat', 0),
    step('advanceShort', 40),
    step('silence', 0),
    step('chat', 0),
    step('advance', 100),
  ],
  sabotage: {
    rewire: (options) => ({ ...options, engines: withOldConnections(options.engines) }),
  },
  expected: /does not answer after all is healed/,
};

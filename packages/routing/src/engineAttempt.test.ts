import { install, type Clock } from '@sinonjs/fake-timers';
import { asId, setInvariantsFatal, type UpstreamId } from '@snipehaven/common';
import {
  DONE_DATA,
  StreamUnknownError,
  UpstreamAbortedError,
  UpstreamBrokenError,
  UpstreamFailedError,
  UpstreamNotStartedError,
  UpstreamSilentError,
  type EngineClient,
  type EngineEvent,
  type EngineRun,
} from '@snipehaven/upstream';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { MAX_RESUMES } from './constants.js';
import { EngineAttempt } from './engineAttempt.js';
import { RunTracker, type RunVerdict } from './runTracker.js';

setInvariantsFatal(true);

/** The events that one connection delivers, as batches of offsets, and how it ends. */
interface Connection {
  readonly batches: readonly (readonly number[])[];
  readonly error?: Error;
}

interface Outcome {
  readonly offsets: readonly number[];
  /** The offset after which each resume asked to continue. */
  readonly resumes: readonly number[];
  readonly starts: number;
  readonly verdict: RunVerdict;
  readonly error: unknown;
}

const LAST = 4;
const ABORT_AFTER_MS = 10;
const silent = new UpstreamSilentError('silent');
const broken = new UpstreamBrokenError('broken');
const refused = new UpstreamNotStartedError('refused');
const unknown = new StreamUnknownError('unknown');

const toEvent = (offset: number): EngineEvent => ({
  offset,
  data: offset === LAST ? DONE_DATA : `{"offset":${offset}}`,
});

async function* play(connection: Connection): AsyncGenerator<readonly EngineEvent[]> {
  for (const batch of connection.batches) {
    yield batch.map(toEvent);
  }
  if (connection.error) {
    throw connection.error;
  }
}

const test = suite('engineAttempt');
let clock: Clock;

/** Runs an attempt over a sequence of connections. */
const attempt = async (
  connections: readonly Connection[],
  signal: AbortSignal = new AbortController().signal,
): Promise<Outcome> => {
  const remaining = [...connections];
  const takeConnection = (): Connection => remaining.shift() ?? { batches: [], error: unknown };
  const resumes: number[] = [];
  let starts = 0;
  const engines = {
    start: () => {
      starts += 1;
      return play(takeConnection());
    },
    resume: (_run: EngineRun, afterOffset: number) => {
      resumes.push(afterOffset);
      return play(takeConnection());
    },
  } as unknown as EngineClient;
  const tracker = new RunTracker();
  const source = new EngineAttempt({
    engines,
    run: {} as EngineRun,
    upstream: asId<UpstreamId>('engine-1'),
    requestId: 'r1',
    dispatch: tracker.startDispatch(),
    signal,
    timeline: { record: () => undefined },
  });
  const offsets: number[] = [];
  const read = async (): Promise<unknown> => {
    try {
      for await (const batch of source.events()) {
        offsets.push(...batch.map((event) => event.offset));
      }
      return undefined;
    } catch (error) {
      return error;
    }
  };
  const reading = read();
  await clock.runAllAsync();
  const error = await reading;
  return { offsets, resumes, starts, verdict: tracker.getVerdict(), error };
};

test.before.each(() => {
  clock = install({ now: 1_000_000 });
});

test.after.each(() => {
  clock.uninstall();
});

/** Connections that together deliver the whole answer, with the resumes they require. */
const recoveries: readonly (readonly [string, readonly Connection[], readonly number[]])[] = [
  ['one connection', [{ batches: [[1, 2], [3], [4]] }], []],
  ['silent', [{ batches: [[1, 2]], error: silent }, { batches: [[3, 4]] }], [2]],
  [
    'silent before the first event',
    [{ batches: [], error: silent }, { batches: [[1, 2, 3, 4]] }],
    [0],
  ],
  [
    'broken twice',
    [{ batches: [[1]], error: broken }, { batches: [[2]], error: broken }, { batches: [[3, 4]] }],
    [1, 2],
  ],
  ['a gap between batches', [{ batches: [[1], [3]] }, { batches: [[2, 3, 4]] }], [1]],
  ['a gap within a batch', [{ batches: [[1, 2, 4]] }, { batches: [[1, 2, 3, 4]] }], [0]],
  [
    'duplicate events',
    [
      { batches: [[1, 2]], error: broken },
      {
        batches: [
          [1, 2, 3],
          [3, 4],
        ],
      },
    ],
    [2],
  ],
  ['an end without the final [DONE]', [{ batches: [[1, 2]] }, { batches: [[3, 4]] }], [2]],
  [
    'no connection for the resume',
    [{ batches: [[1]], error: broken }, { batches: [], error: refused }, { batches: [[2, 3, 4]] }],
    [1, 1],
  ],
];

test('reads each event exactly once and in order, from a single run', async () => {
  // Connections go silent, break, skip or repeat events while the run continues. Parts of the
  // answer are lost or repeated if events are counted as read before they are passed on, and a
  // second run makes the answer if the run is started again.
  for (const [name, connections, resumes] of recoveries) {
    const outcome = await attempt(connections);
    assert.is(outcome.error, undefined, name);
    assert.equal(outcome.offsets, [1, 2, 3], name);
    assert.equal(outcome.resumes, resumes, name);
    assert.is(outcome.starts, 1, name);
    assert.is(outcome.verdict, 'ran', name);
  }
});

const failed = new UpstreamFailedError(500, 'failed');

/** Connections that do not deliver the whole answer, and the resulting verdict about the run. */
const losses: readonly (readonly [string, readonly Connection[], Error, RunVerdict])[] = [
  ['refused', [{ batches: [], error: refused }], refused, 'notRun'],
  ['failed', [{ batches: [], error: failed }], failed, 'unknown'],
  [
    'silent, then unknown: the engine has restarted',
    [{ batches: [], error: silent }],
    unknown,
    'unknown',
  ],
  ['unknown in the middle of the answer', [{ batches: [[1]], error: broken }], unknown, 'ran'],
  [
    'silent, then unreachable for good',
    [
      { batches: [], error: silent },
      ...Array.from({ length: MAX_RESUMES }, () => ({ batches: [], error: refused })),
    ],
    refused,
    'unknown',
  ],
  [
    'always silent',
    Array.from({ length: MAX_RESUMES + 1 }, () => ({ batches: [], error: silent })),
    silent,
    'unknown',
  ],
];

test('reports notRun only if the engine refused to start the run', async () => {
  // The engine restarts or becomes unreachable and no longer knows the run. If the failed resume
  // were mistaken for a refusal of the run, a filing could be submitted twice.
  for (const [name, connections, error, verdict] of losses) {
    const outcome = await attempt(connections);
    assert.is(outcome.error, error, name);
    assert.is(outcome.verdict, verdict, name);
    assert.is(outcome.starts, 1, name);
  }
});

test('does not resume a request that was aborted', async () => {
  const controller = new AbortController();
  setTimeout(() => controller.abort(), ABORT_AFTER_MS);
  const outcome = await attempt([{ batches: [[1]], error: silent }], controller.signal);
  assert.instance(outcome.error, UpstreamAbortedError);
  assert.equal(outcome.resumes, []);
});

test.run();

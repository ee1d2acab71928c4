/** What the collected events tell of one request. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { MembershipView } from '@snipehaven/membership';
import type { PeerTransport } from '@snipehaven/protocol';
import { HybridClock, Timeline } from '@snipehaven/timeline';
import { TimelineCollector } from './collectTimeline.js';

const requestId = 'entry-1-7';
const source = { vm: 'entry-1', dataCentre: 'a', incarnation: 'entry-1-1' };

const createCollector = (timeline: Timeline): TimelineCollector =>
  new TimelineCollector({
    timeline,
    membership: { self: source, listAlive: () => [source] } as unknown as MembershipView,
    transport: {} as PeerTransport,
    ledger: { listBilling: () => Promise.resolve([]), listEntries: () => Promise.resolve([]) },
  });

/*
 * Symptom: an operator reads that the cheap answer was released, though it was rated too low.
 * Sequence: both versions of a cascade run at the same engine; the second one's end is recorded.
 * Cause: an attempt's outcome was looked up by its upstream alone.
 */
test('each attempt of a cascade at one engine has its own outcome', async () => {
  const timeline = new Timeline(source, new HybridClock());
  const upstream = 'engine-1';
  timeline.record(
    'requestPlanned',
    { requestId },
    { versions: 'small@1 > large@1', reason: 'cascade' },
  );
  timeline.record('attemptStarted', { requestId, version: 'small@1', upstream });
  timeline.record('attemptEscalated', { requestId, version: 'small@1' });
  timeline.record('attemptStarted', { requestId, version: 'large@1', upstream });
  timeline.record('answerFinished', { requestId, version: 'large@1', upstream });
  const request = await createCollector(timeline).getRequest(requestId);
  assert.equal(
    request?.attempts.map(({ version, outcome }) => [version, outcome]),
    [
      ['small@1', 'attemptEscalated'],
      ['large@1', 'answerFinished'],
    ],
  );
  assert.is(request?.verdict, 'answered');
});

test('a request that nobody remembers is undefined', async () => {
  const timeline = new Timeline(source, new HybridClock());
  assert.is(await createCollector(timeline).getRequest('unknown'), undefined);
});

test.run();

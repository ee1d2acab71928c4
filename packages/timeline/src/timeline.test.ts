import { install } from '@sinonjs/fake-timers';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { formatEventsAsJsonLines, formatEventsAsText } from './formatEvents.js';
import { compareHybridTimes, HybridClock } from './hybridClock.js';
import { mergeTimelines } from './mergeTimelines.js';
import { buildTimelinePage } from './page/timelinePage.js';
import { Timeline } from './timeline.js';
import type { TimelineEvent } from './types.js';

const SEED = 20_261;

/** What the daemons do: each step is a local event or a message to another daemon. */
const stepArbitrary = fc.record({
  daemon: fc.nat(3),
  to: fc.nat(3),
  isMessage: fc.boolean(),
  elapsedMs: fc.nat(2),
});

type Step = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

const createDaemon = (index: number) => {
  const clock = new HybridClock();
  const source = { vm: `vm-${index}`, dataCentre: 'dc', incarnation: `vm-${index}#1` };
  return { clock, timeline: new Timeline(source, clock) };
};

/** Runs the steps; a message is an event of its sender, then one of its receiver. */
const runSteps = (steps: readonly Step[]) => {
  const clockOfRuntime = install({ now: 1_000_000, toFake: ['Date'] });
  const daemons = [0, 1, 2, 3].map(createDaemon);
  const order: string[] = [];
  const record = (index: number): void => {
    daemons[index]?.timeline.record('leaseAcquired', {}, { step: order.length });
    order.push(String(order.length));
  };
  steps.forEach(({ daemon, to, isMessage, elapsedMs }) => {
    clockOfRuntime.tick(elapsedMs);
    record(daemon);
    if (isMessage) {
      daemons[to]?.clock.observe(daemons[daemon]?.clock.now() ?? { wallMs: 0, counter: 0 });
      record(to);
    }
  });
  clockOfRuntime.uninstall();
  return daemons.map(({ timeline }) => timeline.list({}));
};

const getStep = (event: TimelineEvent): number => Number(event.detail.step);

test('a merge shows causes before effects and keeps the order of each daemon', () => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, { maxLength: 40 }), (steps) => {
      const merged = mergeTimelines(runSteps(steps));
      const places = new Map(merged.map((event, place) => [getStep(event), place]));
      let step = 0;
      steps.forEach(({ isMessage }) => {
        if (isMessage) {
          assert.ok((places.get(step) ?? 0) < (places.get(step + 1) ?? 0), 'receipt after sending');
        }
        step += isMessage ? 2 : 1;
      });
      assert.is(merged.length, step);
    }),
    { seed: SEED },
  );
});

const eventArbitrary: fc.Arbitrary<TimelineEvent> = fc.record({
  at: fc.record({ wallMs: fc.nat(20), counter: fc.nat(3) }),
  vm: fc.constant('vm'),
  dataCentre: fc.constant('dc'),
  incarnation: fc.constantFrom('a#1', 'b#1', 'c#1'),
  seq: fc.nat(30),
  type: fc.constant('daemonReady' as const),
  subject: fc.constant({}),
  detail: fc.constant({}),
});

const getName = ({ incarnation, seq }: TimelineEvent): string => `${incarnation}/${seq}`;

const isOrderedBySeq = (events: readonly TimelineEvent[]): boolean =>
  events.every((event, index) => index === 0 || (events[index - 1]?.seq ?? 0) < event.seq);

test('a merge keeps each incarnation in order even where its times run backwards', () => {
  const lists = fc.array(fc.array(eventArbitrary, { maxLength: 20 }), { maxLength: 4 });
  fc.assert(
    fc.property(lists, (given) => {
      const merged = mergeTimelines(given);
      const names = merged.map(getName);
      assert.is(new Set(names).size, names.length, 'each event once');
      assert.equal([...new Set(given.flat().map(getName))].sort(), [...names].sort());
      ['a#1', 'b#1', 'c#1'].forEach((incarnation) => {
        const own = merged.filter((event) => event.incarnation === incarnation);
        assert.ok(isOrderedBySeq(own));
      });
    }),
    { seed: SEED },
  );
});

test('a merge of sound clocks is ordered by hybrid time, whatever the order of the lists', () => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, { maxLength: 40 }), (steps) => {
      const lists = runSteps(steps);
      const merged = mergeTimelines(lists);
      assert.equal(mergeTimelines([...lists].reverse()), merged);
      merged.slice(1).forEach((event, index) => {
        assert.ok(compareHybridTimes(merged[index]?.at ?? event.at, event.at) <= 0);
      });
    }),
    { seed: SEED },
  );
});

test('the ring keeps the latest events in order', () => {
  const timeline = new Timeline(
    { vm: 'v', dataCentre: 'd', incarnation: 'v#1' },
    new HybridClock(),
    3,
  );
  [1, 2, 3, 4, 5].forEach((step) => timeline.record('daemonReady', {}, { step }));
  assert.equal(timeline.list({}).map(getStep), [3, 4, 5]);
  assert.equal(timeline.list({ limit: 2 }).map(getStep), [4, 5]);
});

const HOSTILE = '</script><script>alert(1)</script>"\'&\u001b[2J\n';

const hostileEvent: TimelineEvent = {
  at: { wallMs: 1_000, counter: 0 },
  vm: HOSTILE,
  dataCentre: HOSTILE,
  incarnation: 'v#1',
  seq: 1,
  type: 'requestAdmitted',
  subject: { requestId: HOSTILE, version: HOSTILE },
  detail: { reason: HOSTILE },
};

test('names from outside reach neither the markup nor the terminal', () => {
  const page = buildTimelinePage([hostileEvent], {
    title: HOSTILE,
    generatedAtMs: 0,
    unreachable: [HOSTILE],
  });
  assert.not.match(page, '<script>alert');
  assert.is(page.split('</script>').length - 1, 2);
  const json = /id="data">(.*)<\/script>/.exec(page)?.[1] ?? '';
  assert.is(JSON.parse(json).events[0].request, HOSTILE);
  const text = formatEventsAsText([hostileEvent]);
  assert.is(text.split('\n').length, 2);
  assert.not.ok(text.includes('\u001b'));
  assert.equal(JSON.parse(formatEventsAsJsonLines([hostileEvent])), hostileEvent);
});

test.run();

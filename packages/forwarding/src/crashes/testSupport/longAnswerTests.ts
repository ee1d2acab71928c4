/** Tests of fleets in which answers take seconds, so that innocence is proven late. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { MAX_LATE_ARRIVALS, playPart, type PartPlay } from './crashFleet.js';

const LONGEST_ANSWER_MS = 8_000;
const CHANCE_EXIT_EACH_MS = 2_000;

type Kind = Pick<PartPlay, 'crashAfterMs' | 'isSoundAtFirst'>;

const kinds: Readonly<Record<string, Kind>> = {
  'ends upstreams after 20 ms': { crashAfterMs: 20 },
  'ends upstreams after 500 ms': { crashAfterMs: 500 },
  'ends upstreams after 1200 ms': { crashAfterMs: 1_200 },
  'was sound before': { crashAfterMs: 400, isSoundAtFirst: true },
};

interface Outcome {
  readonly late: number;
  readonly heldWrongly: number;
}

/** Two tests judge the same play. */
const outcomes = new Map<string, Outcome>();

const playOnce = (clock: Clock, play: PartPlay): Outcome => {
  const key = JSON.stringify(play);
  const known = outcomes.get(key);
  if (known !== undefined) {
    return known;
  }
  const { late, heldWrongly } = playPart(clock, play);
  const outcome = { late, heldWrongly: heldWrongly.size };
  outcomes.set(key, outcome);
  return outcome;
};

interface Context {
  clock: Clock;
}

export const testLongAnswers = (daemons: number, seeds: readonly number[]): void => {
  const test = suite<Context>('suspects in long answers', {} as Context);

  test.before.each((context) => {
    context.clock = FakeTimers.install({ now: 1_700_000_000_000 });
  });

  test.after.each(({ clock }) => clock.uninstall());

  for (const [name, kind] of Object.entries(kinds)) {
    const base = { ...kind, daemons, longestAnswerMs: LONGEST_ANSWER_MS };

    // Guards against blaming what runs on every upstream instead of the part.
    test(`${daemons} daemons hold a part that ${name}`, ({ clock }) => {
      for (const seed of seeds) {
        const { late } = playOnce(clock, { ...base, seed });
        assert.ok(late <= MAX_LATE_ARRIVALS, `seed ${seed}: ${late} late`);
      }
    });

    // Guards against releasing the part for another one that ends by chance made more suspect.
    test(`${daemons} daemons hold a part that ${name} beside ends by chance`, ({ clock }) => {
      for (const seed of seeds) {
        const chanceExitEachMs = CHANCE_EXIT_EACH_MS;
        const { late } = playOnce(clock, { ...base, seed, chanceExitEachMs });
        assert.ok(late <= MAX_LATE_ARRIVALS, `seed ${seed}: ${late} late`);
      }
    });

    // Guards against holding what ran beside the part.
    test(`${daemons} daemons hold no sound part for one that ${name}`, ({ clock }) => {
      for (const seed of seeds) {
        const { heldWrongly } = playOnce(clock, { ...base, seed });
        assert.is(heldWrongly, 0, `seed ${seed}`);
      }
    });
  }

  test.run();
};

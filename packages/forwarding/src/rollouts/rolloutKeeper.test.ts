/** Who of many daemons writes a roll-out's state, and who does when the first ones are gone. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { createRandom, createSilentLogger } from '@snipehaven/common';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { Freshness } from '../configuration/freshness.js';
import { readClocks } from '../configuration/storeClock.js';
import { RolloutGuide } from './rolloutGuide.js';
import { RolloutKeeper } from './rolloutKeeper.js';
import type { RolloutStatus, RolloutWriter } from './types.js';

interface Context {
  clock: Clock;
}

const test = suite<Context>('roll-out keeper', {} as Context);

test.before.each((context) => {
  context.clock = FakeTimers.install({ now: 1_700_000_000_000 });
});

test.after.each(({ clock }) => clock.uninstall());

const DAEMONS = 195;
const KNOWN_MS = 500;

/** One row that daemons write under a condition, and that all know half a second later. */
class StatusRow {
  #version = 0;

  writes = 0;

  isDown = false;

  readonly guides: RolloutGuide[] = [];

  createWriter(): RolloutWriter {
    return {
      writeStatus: (status, expectedVersion) => this.#write(status, expectedVersion),
      writeEvidence: () => Promise.resolve(),
    };
  }

  #write(status: RolloutStatus, expectedVersion: number): Promise<boolean> {
    this.writes += 1;
    if (this.isDown) {
      return Promise.reject(new Error('down'));
    }
    if (expectedVersion !== this.#version) {
      return Promise.resolve(false);
    }
    this.#version += 1;
    const version = this.#version;
    setTimeout(() => {
      this.guides.forEach((guide) => guide.takeStatus(status, version, performance.now()));
    }, KNOWN_MS);
    return Promise.resolve(true);
  }
}

/** Daemons of these ranks, each with the order just given. */
const startKeepers = (row: StatusRow, ranks: readonly number[]): void => {
  const freshness = new Freshness();
  freshness.confirm({ asked: readClocks(), serverTimeMs: 0 });
  ranks.forEach((rank) => {
    const logger = createSilentLogger();
    const vm = `vm-${rank}`;
    const guide = new RolloutGuide({
      logger,
      vm,
      freshness,
      sessionTtlMs: 5_000,
      allowedExposure: 0.1,
    });
    row.guides.push(guide);
    new RolloutKeeper({
      guide,
      writer: row.createWriter(),
      vm,
      freshness,
      logger,
      random: createRandom(rank),
      getStoreOffsetMs: () => 0,
      getWriterRank: () => rank,
    }).start();
    guide.takeOrder({ service: 's', toVersion: 'v2', durationMs: 20_000 }, 7, true);
  });
};

const listRanks = (from: number): readonly number[] =>
  Array.from({ length: DAEMONS - from }, (_, index) => from + index);

const isKnown = ({ guides }: StatusRow): boolean =>
  guides.every((guide) => [...guide.rollouts].every(({ isStatusKnown }) => isStatusKnown));

// Symptom: 39 daemons write a roll-out's row at the same moment, and all 195 a roll-back. Sequence: an
// order comes. Cause: each writes after a wait drawn from five.
test('of many daemons one writes', ({ clock }) => {
  const row = new StatusRow();
  startKeepers(row, listRanks(0));
  clock.tick(3_000);
  assert.ok(isKnown(row));
  assert.is(row.writes, 1);
});

test('the next one writes when the first three are gone', ({ clock }) => {
  const row = new StatusRow();
  startKeepers(row, listRanks(3));
  clock.tick(3_500);
  assert.ok(isKnown(row));
  assert.is(row.writes, 1);
});

test('a store that is down is asked by few to write, and written to when it is back', ({
  clock,
}) => {
  const row = new StatusRow();
  row.isDown = true;
  startKeepers(row, listRanks(0));
  clock.tick(5_000);
  assert.ok(row.writes <= 20, `${row.writes} writes`);
  row.isDown = false;
  clock.tick(3_000);
  assert.ok(isKnown(row));
});

test.run();

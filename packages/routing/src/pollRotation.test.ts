import { createRandom } from '@snipehaven/common';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { MAX_POLLS_PER_SECOND, PollRotation } from './pollRotation.js';

const ROUND_MS = 500;
const PER_ROUND = (MAX_POLLS_PER_SECOND * ROUND_MS) / 1_000;

const listEngines = (count: number): readonly number[] =>
  Array.from({ length: count }, (_, index) => index);

test('polls all engines in each round if there are few', () => {
  const rotation = new PollRotation(ROUND_MS, createRandom(1));
  const engines = listEngines(PER_ROUND);
  assert.equal(rotation.takeNext(engines), engines);
  assert.equal(rotation.takeNext(engines), engines);
});

/**
 * Polling every engine in every round takes a tenth of a core at 157 engines; a limit alone would
 * poll the same few engines forever.
 */
test('polls many engines in turn, none twice before all were polled', () => {
  const rotation = new PollRotation(ROUND_MS, createRandom(1));
  const engines = listEngines(PER_ROUND * 10);
  const rounds = engines.slice(0, 10).map(() => rotation.takeNext(engines));
  assert.ok(rounds.every((round) => round.length === PER_ROUND));
  assert.equal(
    rounds.flat().sort((a, b) => a - b),
    engines,
  );
});

test('continues the rotation when engines are removed', () => {
  const rotation = new PollRotation(ROUND_MS, createRandom(1));
  rotation.takeNext(listEngines(PER_ROUND * 10));
  assert.is(rotation.takeNext(listEngines(PER_ROUND + 1)).length, PER_ROUND);
  assert.equal(rotation.takeNext([]), []);
});

test.run();

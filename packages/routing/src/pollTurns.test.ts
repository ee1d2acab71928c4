import { createRandom } from '@snipehaven/common';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { MAX_POLLS_PER_SECOND, PollTurns } from './pollTurns.js';

const ROUND_MS = 500;
const PER_ROUND = (MAX_POLLS_PER_SECOND * ROUND_MS) / 1_000;

const listEngines = (count: number): readonly number[] =>
  Array.from({ length: count }, (_, index) => index);

test('few engines are all polled in each round', () => {
  const turns = new PollTurns(ROUND_MS, createRandom(1));
  const engines = listEngines(PER_ROUND);
  assert.equal(turns.take(engines), engines);
  assert.equal(turns.take(engines), engines);
});

/**
 * Symptom: control takes a tenth of a core at 157 engines. Sequence: each round polls each engine. Cause: the
 * calls of a round grow with the engines; or, with a bound alone, the same few are polled for ever.
 */
test('many engines are polled in turn, none more than once before all others', () => {
  const turns = new PollTurns(ROUND_MS, createRandom(1));
  const engines = listEngines(PER_ROUND * 10);
  const rounds = engines.slice(0, 10).map(() => turns.take(engines));
  assert.ok(rounds.every((round) => round.length === PER_ROUND));
  assert.equal(
    rounds.flat().sort((a, b) => a - b),
    engines,
  );
});

test('engines that go away do not stop the turns', () => {
  const turns = new PollTurns(ROUND_MS, createRandom(1));
  turns.take(listEngines(PER_ROUND * 10));
  assert.is(turns.take(listEngines(PER_ROUND + 1)).length, PER_ROUND);
  assert.equal(turns.take([]), []);
});

test.run();

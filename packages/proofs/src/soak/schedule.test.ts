import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createRandom } from '@snipehaven/common';
import { surroundings } from './disturbances/index.js';
import { drawProcessRound, drawSurroundingsRound } from './schedule.js';

const DAEMONS = 9;
const REPLACEMENTS: ReadonlySet<string> = new Set(['killAndReplace', 'stopAndReplace']);

test('a round replaces every daemon once', () => {
  const round = drawProcessRound(DAEMONS, createRandom(3));
  const replaced = round.filter(({ name }) => REPLACEMENTS.has(name)).map(({ daemon }) => daemon);
  assert.equal(
    [...replaced].sort((a, b) => a - b),
    Array.from({ length: DAEMONS }, (_, daemon) => daemon),
  );
});

test('a round of the surroundings has each disturbance once', () => {
  const round = drawSurroundingsRound(createRandom(3));
  assert.equal([...round].sort(), Object.keys(surroundings).sort());
});

test('the same seed draws the same schedule', () => {
  const draw = () => drawProcessRound(DAEMONS, createRandom(7));
  assert.equal(draw(), draw());
});

test.run();

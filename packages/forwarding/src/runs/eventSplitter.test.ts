import { createRandom } from '@snipehaven/common';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { EventSplitter } from './eventSplitter.js';

const cut = (bytes: Buffer, sizes: () => number): readonly Buffer[] => {
  const pieces: Buffer[] = [];
  for (let at = 0; at < bytes.length;) {
    const size = sizes();
    pieces.push(bytes.subarray(at, at + size));
    at += size;
  }
  return pieces;
};

const split = (pieces: readonly Buffer[]) => {
  const splitter = new EventSplitter();
  const events = pieces.map((piece) => splitter.push(piece));
  return {
    relayed: Buffer.concat(events.map(({ bytes }) => bytes)).toString(),
    lastEventId: events.findLast((one) => one.lastEventId !== undefined)?.lastEventId,
    rest: splitter.takeRest().toString(),
  };
};

const stream = (newline: string): Buffer =>
  Buffer.from(
    [1, 2, 3]
      .map((id) => `id: ${id}${newline}data: grid: ${id}${newline}${newline}`)
      .join('')
      .concat(`id: 4${newline}data: cut`),
  );

for (const [name, newline] of [
  ['line feeds', '\n'],
  ['carriage returns and line feeds', '\r\n'],
] as const) {
  const whole = stream(newline);
  const rest = `id: 4${newline}data: cut`;

  test(`events with ${name} are the same however their bytes are cut`, () => {
    const random = createRandom(1);
    const expected = {
      relayed: whole.toString().slice(0, -rest.length),
      lastEventId: 3,
      rest,
    };
    assert.equal(split([whole]), expected);
    assert.equal(split(cut(whole, () => 1)), expected);
    for (let round = 0; round < 200; round += 1) {
      assert.equal(split(cut(whole, () => 1 + random.nextInt(12))), expected);
    }
  });
}

test('an id within a line is none', () => {
  assert.is(split([Buffer.from('data: id: 7\n\n')]).lastEventId, undefined);
  assert.is(split([Buffer.from('id: 7\ndata: id: 8\n\n')]).lastEventId, 7);
});

const PIECE = Buffer.alloc(16_384, 'x');
const ROUNDS = 5;
const GROWTH = 4;

/** Processor time for an event without end, the least of some rounds. */
const measureWorkMs = (pieces: number): number => {
  const rounds = Array.from({ length: ROUNDS }, () => {
    const splitter = new EventSplitter();
    const before = process.cpuUsage();
    for (let count = 0; count < pieces; count += 1) {
      splitter.push(PIECE);
    }
    const { user, system } = process.cpuUsage(before);
    return (user + system) / 1_000;
  });
  return Math.min(...rounds);
};

// Guards against a daemon that does nothing else for seconds as it searches an event again with
// each of its pieces.
test('the work for an event grows no faster than its bytes', () => {
  const pieces = 256;
  const growth = measureWorkMs(pieces * GROWTH) / measureWorkMs(pieces);
  // A square would be GROWTH times GROWTH.
  assert.ok(growth < GROWTH * 2, `${growth} times the work for ${GROWTH} times the bytes`);
});

test.run();

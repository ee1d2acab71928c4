import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { ByteCollector } from './byteCollector.js';
import { createRandom } from './random.js';

const MAX_PIECE_BYTES = 40_000;

test('pieces of any size are returned as one, in order', () => {
  const random = createRandom(1);
  const collector = new ByteCollector();
  const pieces = Array.from({ length: 200 }, (_, index) => {
    const isSmall = random.next() < 0.8;
    return Buffer.alloc(random.nextInt(isSmall ? 300 : MAX_PIECE_BYTES), index);
  });
  pieces.forEach((piece) => collector.append(piece));
  const whole = Buffer.concat(pieces);
  assert.is(collector.sizeBytes, whole.length);
  assert.ok(collector.take().equals(whole));
  assert.is(collector.sizeBytes, 0);
  assert.is(collector.take().length, 0);
});

test('bytes that were taken do not change with what is collected next', () => {
  const collector = new ByteCollector();
  collector.append(Buffer.from('first'));
  const first = collector.take();
  collector.append(Buffer.from('other'));
  assert.is(first.toString(), 'first');
  assert.is(collector.take().toString(), 'other');
});

// Guards against bytes that arrive one by one and take up a hundred times their memory.
test('a megabyte of single bytes takes up little more than a megabyte', () => {
  const collector = new ByteCollector();
  const before = process.memoryUsage();
  const one = Buffer.from('x');
  for (let count = 0; count < 1_048_576; count += 1) {
    collector.append(one);
  }
  const after = process.memoryUsage();
  const heldBytes = after.heapUsed + after.external - before.heapUsed - before.external;
  assert.ok(heldBytes < 4 * 1_048_576, `${heldBytes} bytes`);
});

test.run();

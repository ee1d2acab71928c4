/** Sums over what callers make a process hold. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { BodyMemory, findCallerLimits, UnreadAnswers, type HeldBody } from './index.js';

const test = suite('limits on callers');

const HEAP_BYTES = 230_000_000;
const LARGE_BODY_BYTES = 4_194_304;

const vms = {
  'a small VM': { memoryBytes: 250_000_000, descriptors: 4_100, connections: 1_000, bodies: 8 },
  'a usual VM': { memoryBytes: 350_000_000, descriptors: 4_100, connections: 1_500, bodies: 12 },
  'a large VM': { memoryBytes: 602_000_000, descriptors: 8_192, connections: 3_000, bodies: 12 },
};

for (const [name, { memoryBytes, descriptors, connections, bodies }] of Object.entries(vms)) {
  // Guards against limits that the callers of a whole data centre meet at one VM.
  test(`${name} takes the connections and bodies of a data centre within its memory`, () => {
    const limits = findCallerLimits({ memoryBytes, descriptors }, HEAP_BYTES);
    assert.ok(limits.maxConnections >= connections, `${limits.maxConnections} connections`);
    assert.ok(limits.maxConnections * 2 < descriptors);
    assert.ok(limits.maxLargeBodyBytes >= bodies * LARGE_BODY_BYTES);
  });
}

const createBodies = () => {
  const limits = findCallerLimits({ memoryBytes: 250_000_000, descriptors: 4_100 }, HEAP_BYTES);
  const memory = new BodyMemory({
    ...limits,
    maxSmallBodyBytes: 1_000,
    maxLargeBodyBytes: 200_000,
  });
  const givenUp: string[] = [];
  const open = (name: string, bytes: number): HeldBody => {
    const body = memory.open(() => givenUp.push(name));
    body.grow(bytes);
    return body;
  };
  return { memory, givenUp, open };
};

test('the largest incomplete body is given up when the memory is used up', () => {
  const { memory, givenUp, open } = createBodies();
  open('large', 100_000);
  open('larger', 90_000).grow(30_000);
  assert.equal(givenUp, ['larger']);
  assert.is(memory.heldBytes, 100_000);
});

test('a complete body stays until it is released', () => {
  const { memory, givenUp, open } = createBodies();
  const running = open('running', 150_000);
  running.complete();
  open('newcomer', 70_000);
  assert.equal(givenUp, ['newcomer']);
  running.release();
  assert.is(memory.heldBytes, 0);
});

test('large bodies take no memory from small ones', () => {
  const { givenUp, open } = createBodies();
  open('large', 200_000);
  open('small', 900);
  assert.equal(givenUp, []);
});

test('one body up to the limit of the configuration always fits', () => {
  const { memory, givenUp, open } = createBodies();
  memory.maxBodyBytes = LARGE_BODY_BYTES;
  open('largest', LARGE_BODY_BYTES);
  assert.equal(givenUp, []);
});

test('the answer of which most is unread is dropped when the memory is used up', () => {
  const answers = new UnreadAnswers(100);
  const dropped: number[] = [];
  for (const unreadBytes of [30, 50, 40]) {
    answers.update({ unreadBytes, dropUnread: () => dropped.push(unreadBytes) });
  }
  assert.equal(dropped, [50]);
  assert.is(answers.heldBytes, 70);
});

test.run();

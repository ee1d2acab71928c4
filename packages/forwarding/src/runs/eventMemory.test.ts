import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { MAX_EVENT_BYTES, MAX_SHARED_EVENT_BYTES, OWN_EVENT_BYTES } from '../constants.js';
import { EventMemory } from './eventMemory.js';

test('an event may not grow beyond the size of one', () => {
  const memory = new EventMemory();
  assert.ok(memory.resize(0, MAX_EVENT_BYTES));
  assert.not(memory.resize(MAX_EVENT_BYTES, MAX_EVENT_BYTES + 1));
  assert.ok(memory.resize(MAX_EVENT_BYTES, 0));
  assert.is(memory.sharedBytes, 0);
});

// Guards against a daemon that runs out of memory by many streams without end.
test('long events together are bounded, and cost the other streams nothing', () => {
  const memory = new EventMemory();
  let streams = 0;
  while (memory.resize(0, MAX_EVENT_BYTES)) {
    streams += 1;
  }
  assert.ok(memory.sharedBytes <= MAX_SHARED_EVENT_BYTES);
  assert.ok(streams * MAX_EVENT_BYTES >= MAX_SHARED_EVENT_BYTES);
  assert.ok(memory.resize(0, OWN_EVENT_BYTES));
  assert.ok(memory.resize(MAX_EVENT_BYTES, 0));
  assert.ok(memory.resize(0, MAX_EVENT_BYTES));
});

test.run();

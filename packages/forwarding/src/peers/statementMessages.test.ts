/** Messages about what upstreams say of themselves, and validation of received ones. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { parseDatagram } from './datagram.js';
import { decodeLeavings, encodeLeavings } from './leavingMessage.js';
import { decodeRateLimits, encodeRateLimits } from './rateLimitMessage.js';

const test = suite('messages about statements of upstreams');

test('decode to what was encoded', () => {
  const limits = [
    { lifeId: 'u-1', requestsPerS: 2.7, sentAgoMs: 40, heardAgoMs: 3 },
    { lifeId: 'u-2@5', requestsPerS: null, sentAgoMs: 0, heardAgoMs: 0 },
  ];
  assert.equal(decodeRateLimits(parseDatagram(encodeRateLimits(limits))), limits);
  const leavings = [{ lifeId: 'u-1', sinceMs: 120 }];
  assert.equal(decodeLeavings(parseDatagram(encodeLeavings(leavings))), leavings);
});

test('are not decoded if malformed, or if they are of another kind', () => {
  const malformed = [
    { rateLimits: [['u-1', -1, 0, 0]] },
    { rateLimits: [['u-1', '1', 0, 0]] },
    { rateLimits: [['u-1', 1, 0]] },
    { rateLimits: [[1, 1, 0, 0]] },
    { rateLimits: {} },
    { leavings: [['u-1', -1]] },
    { leavings: [['u-1']] },
    { leavings: [[7, 0]] },
    { leavings: 'u-1' },
    [],
    null,
  ];
  malformed.forEach((message) => {
    assert.is(decodeRateLimits(message), undefined);
    assert.is(decodeLeavings(message), undefined);
  });
  assert.is(decodeLeavings({ rateLimits: [] }), undefined);
});

test.run();

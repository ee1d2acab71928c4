/** Messages about what upstreams say of themselves, and validation of received ones. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { parseDatagram } from './datagram.js';
import { decodeBrittle, encodeBrittle } from './brittleMessage.js';
import { decodeLeavings, encodeLeavings } from './leavingMessage.js';
import { decodePlaceMessage, encodePlaceMessage } from './placeMessage.js';
import { decodeRateLimits, encodeRateLimits } from './rateLimitMessage.js';
import type { PlaceMessage } from '../places/index.js';

const test = suite('messages about statements of upstreams');

test('decode to what was encoded', () => {
  const limits = [
    { lifeId: 'u-1', requestsPerS: 2.7, sentAgoMs: 40, heardAgoMs: 3 },
    { lifeId: 'u-2@5', requestsPerS: null, sentAgoMs: 0, heardAgoMs: 0 },
  ];
  assert.equal(decodeRateLimits(parseDatagram(encodeRateLimits(limits))), limits);
  const leavings = [{ lifeId: 'u-1', sinceMs: 120 }];
  assert.equal(decodeLeavings(parseDatagram(encodeLeavings(leavings))), leavings);
  const brittle = [{ service: 's', rejectionsPerS: 2.5, heardAgoMs: 7 }];
  assert.equal(decodeBrittle(parseDatagram(encodeBrittle(brittle))), brittle);
  const from = { vm: 'vm-1', process: 77 };
  const places: readonly PlaceMessage[] = [
    { kind: 'ask', from, request: { id: 1, lifeId: 'u-1', rejectionsPerS: 4 } },
    { kind: 'reply', reply: { process: 77, id: 1, isGranted: false, waitMs: 20 } },
    { kind: 'return', from, returned: [{ id: 1, lifeId: 'u-1', isTurnedAway: true }] },
    { kind: 'held', from, holdings: [{ lifeId: 'u-1', ids: [2, 3], untracked: 1 }] },
  ];
  places.forEach((message) =>
    assert.equal(decodePlaceMessage(parseDatagram(encodePlaceMessage(message))), message),
  );
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
    { brittle: [['s', -1, 0]] },
    { brittle: [['s', 1]] },
    { places: ['ask', 'vm-1', 7, 1, 'u-1', -4] },
    { places: ['ask', 'vm-1', -7, 1, 'u-1', 4] },
    { places: ['reply', 7, 1, 'yes', 0] },
    { places: ['return', 'vm-1', 7, [[1, 'u-1']]] },
    { places: ['held', 'vm-1', 7, [['u-1', 0, -1]]] },
    { places: ['held', 'vm-1', 7] },
    { places: ['constructor', 'vm-1', 7] },
    { places: 'ask' },
    [],
    null,
  ];
  malformed.forEach((message) => {
    assert.is(decodeRateLimits(message), undefined);
    assert.is(decodeLeavings(message), undefined);
    assert.is(decodeBrittle(message), undefined);
    assert.is(decodePlaceMessage(message), undefined);
  });
  assert.is(decodeLeavings({ rateLimits: [] }), undefined);
});

test.run();

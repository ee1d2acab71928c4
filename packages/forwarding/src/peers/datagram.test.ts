/** Robustness of the decoders against arbitrary datagrams. */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { decodeChanges } from './changesMessage.js';
import { compressDatagram, parseDatagram } from './datagram.js';
import { decodeLoadMessage } from './loadMessage.js';

const SEED = 20_261;
const DATAGRAMS = 10_000;

const load = fc.array(fc.oneof(fc.constant('u-1'), fc.double(), fc.anything()), { maxLength: 4 });

const message = fc.oneof(
  fc.anything(),
  fc.tuple(
    fc.constant('vm'),
    fc.constant('a'),
    fc.double(),
    fc.double(),
    fc.array(load),
    fc.array(load),
  ),
  fc.record({ changes: fc.array(fc.anything()) }),
);

const datagram = fc.oneof(
  fc.uint8Array().map((bytes) => Buffer.from(bytes)),
  message.map((one) => Buffer.from(JSON.stringify(one) ?? '')),
  message.map((one) => compressDatagram(JSON.stringify(one) ?? '')),
);

// Guards against a crash or negative loads after a stray datagram, caused by a decoder that trusts
// its input.
test('any datagram is either decoded completely or ignored', () => {
  const property = fc.property(datagram, (bytes) => {
    const parsed = parseDatagram(bytes);
    decodeChanges(parsed);
    const loads = decodeLoadMessage(parsed)?.loads.values() ?? [];
    for (const { work, requests } of loads) {
      assert.ok(work >= 0 && requests >= 0);
    }
  });
  fc.assert(property, { seed: SEED, numRuns: DATAGRAMS });
});

test.run();

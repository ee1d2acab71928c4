/** Datagrams that anyone may have sent. */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { restoreChanges } from './changesMessage.js';
import { packDatagram, parseDatagram } from './datagram.js';
import { restoreLoadMessage } from './loadMessage.js';

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
  message.map((one) => packDatagram(JSON.stringify(one) ?? '')),
);

// Symptom: a daemon ends, or thinks an upstream has less than no work. Sequence: a stray datagram comes.
// Cause: a decoder that trusts what anyone may send.
test('whatever a datagram holds, it is taken whole or not at all', () => {
  const property = fc.property(datagram, (bytes) => {
    const parsed = parseDatagram(bytes);
    restoreChanges(parsed);
    const loads = restoreLoadMessage(parsed)?.loads.values() ?? [];
    for (const { work, requests } of loads) {
      assert.ok(work >= 0 && requests >= 0);
    }
  });
  fc.assert(property, { seed: SEED, numRuns: DATAGRAMS });
});

test.run();

/** Encoding of crash messages and validation of received ones. */
import { asId, type RequestDigest } from '@snipehaven/common';
import type { Suspect } from '@snipehaven/policy';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { encodeCrashMessage, decodeCrashMessage, type CrashMessage } from './crashMessage.js';
import { parseDatagram } from './datagram.js';

const test = suite('crash message');

const suspect = (digest: string, suspicion: Suspect['suspicion']): Suspect => ({
  digest: asId<RequestDigest>(digest),
  attemptId: `attempt of ${digest}`,
  suspicion,
});

const roundTrip = (report: CrashMessage): CrashMessage | undefined =>
  decodeCrashMessage(parseDatagram(encodeCrashMessage(report)));

test('decodes to what was encoded, the most suspect request first', () => {
  const report: CrashMessage = {
    ends: [
      {
        lifeId: 'u-1',
        suspects: [
          { ...suspect('a', 'strong'), sentForMs: 70, elsewhere: 3 },
          suspect('b', 'weak'),
        ],
        inFlightElsewhere: 12,
      },
    ],
    answered: [{ digest: asId<RequestDigest>('c'), beganAgoMs: 12 }],
    alive: ['u-2'],
  };
  assert.equal(roundTrip(report), report);
});

test('contains a limited number of suspects and omits the least suspect', () => {
  const weak = Array.from({ length: 5_000 }, (_, index) => suspect(`w-${index}`, 'weak'));
  const suspects = [...weak, suspect('a', 'strong')];
  const report = { ends: [{ lifeId: 'u-1', suspects }], answered: [], alive: [] };
  const [end] = roundTrip(report)?.ends ?? [];
  assert.ok((end?.suspects.length ?? 0) < 1_000);
  assert.equal(end?.suspects[0], suspect('a', 'strong'));
  assert.ok(encodeCrashMessage(report).length < 64_000);
});

test('is not decoded if malformed', () => {
  for (const crashes of [
    undefined,
    [[], []],
    [[['u-1', [['a', 2, 'x']]]], [], []],
    [[['u-1', [['a', 1]]]], [], []],
    [[['', []]], [], []],
    [[], [5], []],
    [[], [['c', -1]], []],
    [[['u-1', [['a', 1, 'x', -1]]]], [], []],
  ]) {
    assert.is(decodeCrashMessage({ crashes }), undefined);
  }
});

test.run();

/** News of ends as datagrams: what is sent comes back, and what others send is checked. */
import { asId, type RequestDigest } from '@snipehaven/common';
import type { Suspect } from '@snipehaven/policy';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { encodeCrashNews, restoreCrashNews, type CrashNews } from './crashMessage.js';
import { parseDatagram } from './datagram.js';

const test = suite('news of ends');

const suspect = (digest: string, suspicion: Suspect['suspicion']): Suspect => ({
  digest: asId<RequestDigest>(digest),
  attemptId: `attempt of ${digest}`,
  suspicion,
});

const pass = (news: CrashNews): CrashNews | undefined =>
  restoreCrashNews(parseDatagram(encodeCrashNews(news)));

test('come back as they were sent, the most suspect first', () => {
  const news: CrashNews = {
    ends: [{ lifeId: 'u-1', suspects: [suspect('a', 'strong'), suspect('b', 'weak')] }],
    cleared: [asId<RequestDigest>('c')],
    alive: ['u-2'],
  };
  assert.equal(pass(news), news);
});

test('name a bounded number of requests, and leave out the least suspect', () => {
  const weak = Array.from({ length: 5_000 }, (_, index) => suspect(`w-${index}`, 'weak'));
  const suspects = [...weak, suspect('a', 'strong')];
  const news = { ends: [{ lifeId: 'u-1', suspects }], cleared: [], alive: [] };
  const [end] = pass(news)?.ends ?? [];
  assert.ok((end?.suspects.length ?? 0) < 1_000);
  assert.equal(end?.suspects[0], suspect('a', 'strong'));
  assert.ok(encodeCrashNews(news).length < 64_000);
});

test('that are malformed are none', () => {
  for (const crashes of [
    undefined,
    [[], []],
    [[['u-1', [['a', 2, 'x']]]], [], []],
    [[['u-1', [['a', 1]]]], [], []],
    [[['', []]], [], []],
    [[], [5], []],
  ]) {
    assert.is(restoreCrashNews({ crashes }), undefined);
  }
});

test.run();

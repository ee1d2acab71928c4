/** Which parts of a request identify it when it is sent again. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { digestRequest, type DigestedRequest } from './requestDigest.js';

const test = suite('digest of a request');

const REQUEST: DigestedRequest = {
  team: 'north',
  method: 'POST',
  host: 'api.example',
  target: '/chat/a?x=1',
  body: Buffer.from('the question'),
};

test('is the same for a repeated request and does not reveal its content', () => {
  const digest = digestRequest(REQUEST);
  assert.is(
    digest,
    digestRequest({ ...REQUEST, host: 'API.example', body: Buffer.from('the question') }),
  );
  assert.match(digest, /^[\w-]{22}$/);
});

test('differs with the team, method, host, target and body', () => {
  const others: DigestedRequest[] = [
    { ...REQUEST, team: 'south' },
    { ...REQUEST, team: undefined },
    { ...REQUEST, method: 'PUT' },
    { ...REQUEST, host: 'other.example' },
    { ...REQUEST, target: '/chat/a?x=2' },
    { ...REQUEST, body: Buffer.from('the questioN') },
    { ...REQUEST, target: '/chat/a', body: Buffer.from('?x=1the question') },
  ];
  const digests = [REQUEST, ...others].map(digestRequest);
  assert.is(new Set(digests).size, digests.length);
});

test.run();

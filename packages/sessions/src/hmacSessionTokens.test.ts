import { install, type Clock } from '@sinonjs/fake-timers';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { decideSessionVersion } from './decideSessionVersion.js';
import { HmacSessionTokens } from './hmacSessionTokens.js';
import type { Pin } from './types.js';

const tokens = suite<{ clock: Clock }>('HmacSessionTokens');
tokens.before.each((context) => {
  context.clock = install({ now: 1_000_000_000_000 });
});
tokens.after.each(({ clock }) => clock.uninstall());

const createKey = (id: string): { id: string; secret: string } => ({ id, secret: id.repeat(32) });
const oldKey = createKey('1');
const newKey = createKey('2');
const pin: Pin = {
  teamUid: 'team-uid-1',
  session: 's1',
  model: 'small',
  version: 'small@3',
  startedAtMs: 1_000_000_000_000,
  generation: 2,
};

tokens('a token returns its pin, only for its team, until it expires', ({ clock }) => {
  const signer = new HmacSessionTokens({ currentKey: oldKey, tokenLifetimeMs: 1_000 });
  const token = signer.issue(pin);
  assert.match(token, /^[\w.-]+$/);
  assert.equal(signer.verify(token), pin);
  assert.equal(signer.verify(token, pin.teamUid), pin);
  assert.is(signer.verify(token, 'team-uid-2'), undefined, 'a team recreated under the same name');
  clock.tick(1_000);
  assert.is(signer.verify(token), undefined);
});

tokens('key rotation: the previous key is accepted, older and unknown keys are not', () => {
  const before = new HmacSessionTokens({ currentKey: oldKey });
  const during = new HmacSessionTokens({ currentKey: newKey, previousKey: oldKey });
  const after = new HmacSessionTokens({ currentKey: newKey });
  assert.equal(during.verify(before.issue(pin)), pin);
  assert.equal(after.verify(during.issue(pin)), pin);
  assert.is(after.verify(before.issue(pin)), undefined);
  const sameId = new HmacSessionTokens({ currentKey: { ...newKey, secret: 'x'.repeat(32) } });
  assert.is(after.verify(sameId.issue(pin)), undefined);
  const short = { id: '3', secret: 'short' };
  assert.throws(() => new HmacSessionTokens({ currentKey: short }), /shorter than/);
});

tokens('forged, truncated and malformed tokens are rejected', () => {
  const signer = new HmacSessionTokens({ currentKey: oldKey });
  const token = signer.issue(pin);
  const [text, mac] = token.split('.') as [string, string];
  const payload = JSON.parse(Buffer.from(text, 'base64url').toString()) as unknown[];
  const forge = (index: number, value: unknown): string => {
    const forged = payload.map((item, at) => (at === index ? value : item));
    return `${Buffer.from(JSON.stringify(forged)).toString('base64url')}.${mac}`;
  };
  payload.forEach((_item, index) => {
    assert.is(signer.verify(forge(index, 'other')), undefined);
    assert.is(signer.verify(forge(index, 7)), undefined);
  });
  Array.from({ length: token.length }, (_item, length) => token.slice(0, length)).forEach((cut) =>
    assert.is(signer.verify(cut), undefined),
  );
  ['', '.', '..', `${token}.`, `${token}A`, ` ${token}`, `${text}.`, 'A'.repeat(10_000)].forEach(
    (malformed) => assert.is(signer.verify(malformed), undefined),
  );
});

tokens('only a withdrawal or a revoked permission overrides a pin', () => {
  const decide = (isAllowed: boolean, isBlocked: boolean): string => {
    const decision = decideSessionVersion({
      pin,
      isVersionAllowed: () => isAllowed,
      isVersionBlocked: () => isBlocked,
    });
    return decision.kind === 'move' ? decision.reason : decision.kind;
  };
  assert.is(decide(true, false), 'keep');
  assert.is(decide(true, true), 'withdrawn');
  assert.is(decide(false, false), 'notAllowed');
  assert.is(decide(false, true), 'notAllowed');
});

tokens.run();

/** Pins derived from the session's id and the moment, as from a share that changes. */
import type { Pin, SessionTokens } from '@snipehaven/sessions';
import type { Proof } from '../types.js';
import { step } from '../steps.js';

const versions = ['small@1', 'mid@1'] as const;

/** What hashing a session over the present share does: the share moves, and the session with it. */
const toVersionOfShare = (pin: Pin): Pin => {
  const isUp = versions.indexOf(pin.version as (typeof versions)[number]) === 0;
  const version = versions[isUp ? 1 : 0] ?? pin.version;
  return { ...pin, version, model: version.slice(0, version.indexOf('@')) };
};

const withoutPins = (tokens: SessionTokens): SessionTokens => ({
  issue: (pin) => tokens.issue(pin),
  verify: (token, teamUid) => {
    const pin = tokens.verify(token, teamUid);
    return pin && toVersionOfShare(pin);
  },
});

export const sessionProof: Proof = {
  promise: 'A session keeps its version',
  mechanism: 'the version stands in the signed session token, not in a hash and the share',
  faults: 'requests of one session at three daemons, one of them new',
  file: 'packages/sessions/src/hmacSessionTokens.ts',
  steps: [
    step('chatSession', 0, 0, 0),
    step('advance', 20),
    step('chatSession', 2, 0, 0),
    step('advance', 20),
    step('kill', 4),
    step('start', 4),
    step('advance', 100),
    step('chatSession', 4, 0, 0),
    step('advance', 20),
  ],
  sabotage: {
    rewire: (options) => ({
      ...options,
      decorateRouting: (dependencies) => ({
        ...dependencies,
        tokens: withoutPins(dependencies.tokens),
      }),
    }),
  },
  expected: /wrongVersion/,
};

/** Claims that never meet another claim of the same key. */
import type { ClaimStore } from '@snipehaven/claims';
import type { Proof } from '../types.js';
import { step } from '../steps.js';

const withoutClaims: ClaimStore = {
  claim: (request) =>
    Promise.resolve({
      kind: 'claimed',
      claim: { rowKey: request.key, token: '', bodyHash: request.bodyHash, fence: 1 },
    }),
  finish: () => Promise.resolve(),
  release: () => Promise.resolve(),
  markUnknown: () => Promise.resolve(),
};

export const atMostOnceProof: Proof = {
  promise: 'A non-idempotent request runs at most once',
  mechanism: 'claim committed in the table before dispatch',
  faults: 'the same key at two daemons of different data centres at the same instant',
  file: 'packages/claims/src/tableClaimStore.ts',
  steps: [
    step('file', 0),
    step('retry', 0, 3),
    step('advanceShort', 50),
    step('chatOnce', 1),
    step('retry', 1, 4),
  ],
  sabotage: {
    rewire: (options) => ({
      ...options,
      decorateRouting: (dependencies) => ({ ...dependencies, claims: withoutClaims }),
    }),
  },
  expected: /ranTwice/,
};

/** A shutdown that does not wait. */
import type { Proof } from '../types.js';
import { step } from '../steps.js';

export const shutdownProof: Proof = {
  promise: 'A graceful shutdown cuts off no request that is in progress',
  mechanism: 'no new requests, then waiting for those in progress, then handing over',
  faults: 'shutdown while answers stream and while requests come',
  file: 'packages/daemon/src/daemonCore.ts',
  steps: [
    step('chat', 0, 0, 1),
    step('chat', 0),
    step('chatOnce', 0),
    step('advanceShort', 10),
    step('shutDown', 0),
    step('advanceShort', 5),
    step('chat', 0),
    step('advance', 100),
    step('advance', 100),
  ],
  sabotage: { stopDeadlineMs: 0 },
  expected: /cut off a request/,
};

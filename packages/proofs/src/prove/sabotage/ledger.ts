/** Usage records without a copy on another VM. */
import type { PeerHandlers, PeerTransport } from '@snipehaven/protocol';
import { override } from '../override.js';
import type { Proof } from '../types.js';
import { forEach, step } from '../steps.js';

/** Says that the peer holds the copy, and sends nothing. */
const withoutCopies = (transport: PeerTransport): PeerTransport => ({
  getPeer: (address) => {
    const peer = transport.getPeer(address);
    const usage: PeerHandlers['usage'] = {
      replicate: (message) =>
        Promise.resolve({ held: message.opened.length + message.settled.length }),
    };
    return override(peer, { usage });
  },
});

export const billedOnceProof: Proof = {
  promise: 'Each request is billed exactly once',
  mechanism: 'usage records held by a peer, adopted when their owner dies',
  faults: 'the owner is killed after its answers and before its flush',
  file: 'packages/ledger/src/replicator.ts, adopter.ts',
  steps: [
    // The owner flushes each half second; without the table its peer's copies are all there is.
    step('tableDown'),
    ...forEach(1, 'chat'),
    step('chat', 0, 0, 1),
    step('chat', 0, 1, 0),
    step('advanceShort', 58),
    step('advance', 10),
    step('kill', 0),
    step('tableWell'),
    step('advance', 80),
  ],
  sabotage: { rewire: (options) => ({ ...options, transport: withoutCopies(options.transport) }) },
  expected: /misbilled/,
};

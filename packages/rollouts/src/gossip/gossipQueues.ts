/** Queues of gossip updates: one for this data centre and one per remote data centre. */
import type { MembershipView } from '@snipehaven/membership';
import type { Member } from '@snipehaven/protocol';
import {
  ANTI_ENTROPY_INTERVAL_MESSAGES,
  REMOTE_TRANSMITS,
  TRANSMITS_PER_LOG_SIZE,
} from '../constants.js';
import { TransmitLimitedQueue } from './transmitLimitedQueue.js';

export class GossipQueues {
  readonly #membership: MembershipView;

  readonly #local = new TransmitLimitedQueue();

  /** Keyed by data centre. */
  readonly #remote = new Map<string, TransmitLimitedQueue>();

  #messageCount = 0;

  constructor(membership: MembershipView) {
    this.#membership = membership;
  }

  isLocal(peer: Member): boolean {
    return peer.dataCentre === this.#membership.self.dataCentre;
  }

  pushLocal(key: string): void {
    this.#local.push(key);
  }

  /** Queues the key for every other known data centre. */
  pushRemote(key: string): void {
    this.#membership
      .listRelays()
      .forEach(({ dataCentre }) => this.#getRemote(dataCentre).push(key));
  }

  /**
   * Passes queued keys for the peer to `add` until it returns false because the message is full.
   */
  collect(peer: Member, add: (key: string) => boolean): void {
    if (!this.isLocal(peer)) {
      this.#getRemote(peer.dataCentre).collect(REMOTE_TRANSMITS, add);
      return;
    }
    const size = this.#membership.listLocal().length;
    this.#local.collect(TRANSMITS_PER_LOG_SIZE * Math.ceil(Math.log10(size + 1)), add);
  }

  /** Whether the current message should carry anti-entropy items. Call once per message. */
  isAntiEntropyDue(): boolean {
    this.#messageCount += 1;
    return this.#messageCount % ANTI_ENTROPY_INTERVAL_MESSAGES === 0;
  }

  #getRemote(dataCentre: string): TransmitLimitedQueue {
    const present = this.#remote.get(dataCentre);
    if (present) {
      return present;
    }
    const created = new TransmitLimitedQueue();
    this.#remote.set(dataCentre, created);
    return created;
  }
}

/** News by where it goes: within the data centre, or to each other one. */
import type { MembershipView } from '@snipehaven/membership';
import type { Member } from '@snipehaven/protocol';
import { MESSAGES_PER_SWEEP, REMOTE_TRANSMITS, TRANSMITS_PER_LOG_SIZE } from '../constants.js';
import { RumorQueue } from './rumorQueue.js';

export class NewsQueues {
  readonly #membership: MembershipView;

  readonly #local = new RumorQueue();

  /** By data centre. */
  readonly #remote = new Map<string, RumorQueue>();

  #messages = 0;

  constructor(membership: MembershipView) {
    this.#membership = membership;
  }

  isLocal(peer: Member): boolean {
    return peer.dataCentre === this.#membership.self.dataCentre;
  }

  pushLocal(key: string): void {
    this.#local.push(key);
  }

  /** For each other data centre that is known of. */
  pushRemote(key: string): void {
    this.#membership
      .listRelays()
      .forEach(({ dataCentre }) => this.#getRemote(dataCentre).push(key));
  }

  /** Asks for the keys to send to the peer, until `add` returns false for no more room. */
  take(peer: Member, add: (key: string) => boolean): void {
    if (!this.isLocal(peer)) {
      this.#getRemote(peer.dataCentre).take(REMOTE_TRANSMITS, add);
      return;
    }
    const size = this.#membership.listLocal().length;
    this.#local.take(TRANSMITS_PER_LOG_SIZE * Math.ceil(Math.log10(size + 1)), add);
  }

  /** Whether the message to be sent now is one that repeats what is long known. */
  isSweepDue(): boolean {
    this.#messages += 1;
    return this.#messages % MESSAGES_PER_SWEEP === 0;
  }

  #getRemote(dataCentre: string): RumorQueue {
    const present = this.#remote.get(dataCentre);
    if (present) {
      return present;
    }
    const created = new RumorQueue();
    this.#remote.set(dataCentre, created);
    return created;
  }
}

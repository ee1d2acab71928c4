/** Sends items to all peers of the data centre and to one relay of each remote data centre. */
import { getErrorMessage, pickRandom, type Logger, type Random } from '@snipehaven/common';
import type { MembershipView } from '@snipehaven/membership';
import type { Member } from '@snipehaven/protocol';

/** Sends a batch to one peer; rejects if the peer is unreachable. */
export type SendItems<Item> = (
  member: Member,
  items: readonly Item[],
  isRelay: boolean,
) => Promise<void>;

export interface FanOutOptions<Item> {
  readonly membership: MembershipView;
  readonly send: SendItems<Item>;
  readonly random: Random;
  readonly logger: Logger;
}

/** Items queued for one peer. Only one send per peer runs at a time, so bursts are batched. */
interface Outbox<Item> {
  items: Item[];
  drained: Promise<void>;
}

/**
 * Maximum queue length for a peer that does not answer; it receives the rest through anti-entropy.
 */
const MAX_QUEUED_ITEMS = 1_000;

export class FanOut<Item> {
  readonly #options: FanOutOptions<Item>;

  readonly #outboxes = new Map<string, Outbox<Item>>();

  constructor(options: FanOutOptions<Item>) {
    this.#options = options;
  }

  /** Sends to the peers of this data centre and to the relays of the others. */
  broadcast(items: readonly Item[]): void {
    void this.broadcastLocally(items);
    this.#options.membership.listRelays().forEach((relay) => {
      void this.#sendToRelay(relay, items);
    });
  }

  /** Sends to the peers of this data centre; resolves once all sends have completed or failed. */
  async broadcastLocally(items: readonly Item[]): Promise<void> {
    const { membership } = this.#options;
    const peers = membership
      .listLocal()
      .filter(({ incarnation }) => incarnation !== membership.self.incarnation);
    await Promise.all(peers.map((peer) => this.#enqueue(peer, items)));
  }

  /**
   * If the relay has just died, its data centre would have to wait for anti-entropy, so one other
   * member is tried.
   */
  async #sendToRelay(relay: Member, items: readonly Item[]): Promise<void> {
    try {
      await this.#options.send(relay, items, true);
    } catch (error) {
      this.#logFailure(relay, error);
      const alternative = this.#pickAlternative(relay);
      if (alternative) {
        await this.#trySend(alternative, items, true);
      }
    }
  }

  #pickAlternative(relay: Member): Member | undefined {
    const { membership, random } = this.#options;
    const others = membership
      .listAlive()
      .filter(({ dataCentre }) => dataCentre === relay.dataCentre)
      .filter(({ incarnation }) => incarnation !== relay.incarnation);
    return pickRandom(others, random);
  }

  #enqueue(member: Member, items: readonly Item[]): Promise<void> {
    const present = this.#outboxes.get(member.address);
    if (present) {
      present.items = [...present.items, ...items].slice(0, MAX_QUEUED_ITEMS);
      return present.drained;
    }
    const outbox: Outbox<Item> = { items: [...items], drained: Promise.resolve() };
    this.#outboxes.set(member.address, outbox);
    outbox.drained = this.#drain(member, outbox);
    return outbox.drained;
  }

  async #drain(member: Member, outbox: Outbox<Item>): Promise<void> {
    while (outbox.items.length > 0) {
      const batch = outbox.items.splice(0);
      await this.#trySend(member, batch, false);
    }
    this.#outboxes.delete(member.address);
  }

  async #trySend(member: Member, items: readonly Item[], isRelay: boolean): Promise<void> {
    try {
      await this.#options.send(member, items, isRelay);
    } catch (error) {
      this.#logFailure(member, error);
    }
  }

  #logFailure({ address }: Member, error: unknown): void {
    this.#options.logger.debug(
      { address, fault: getErrorMessage(error) },
      'could not push to the peer',
    );
  }
}

/** Sends items at once to all peers of the data centre and to one relay of each other one. */
import { getErrorMessage, pickRandom, type Logger, type Random } from '@snipehaven/common';
import type { MembershipView } from '@snipehaven/membership';
import type { Member } from '@snipehaven/protocol';

/** Sends a batch to one peer; rejects when the peer cannot be reached. */
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

/** What waits for one peer; a peer is sent to once at a time, so that bursts go as batches. */
interface Outbox<Item> {
  items: Item[];
  running: Promise<void>;
}

/** A peer that stays silent gets no longer backlog than this; anti-entropy gives it the rest. */
const MAX_WAITING_ITEMS = 1_000;

export class FanOut<Item> {
  readonly #options: FanOutOptions<Item>;

  readonly #outboxes = new Map<string, Outbox<Item>>();

  constructor(options: FanOutOptions<Item>) {
    this.#options = options;
  }

  /** Sends to the data centre and to the relays of the others. */
  spread(items: readonly Item[]): void {
    void this.passOn(items);
    this.#options.membership.listRelays().forEach((relay) => {
      void this.#sendToRelay(relay, items);
    });
  }

  /** Sends to the peers of the own data centre; resolves when all were tried. */
  async passOn(items: readonly Item[]): Promise<void> {
    const { membership } = this.#options;
    const peers = membership
      .listLocal()
      .filter(({ incarnation }) => incarnation !== membership.self.incarnation);
    await Promise.all(peers.map((peer) => this.#enqueue(peer, items)));
  }

  /**
   * A relay that has just died would leave its whole data centre to wait for anti-entropy; one other
   * member is tried in its place.
   */
  async #sendToRelay(relay: Member, items: readonly Item[]): Promise<void> {
    try {
      await this.#options.send(relay, items, true);
    } catch (error) {
      this.#logFailure(relay, error);
      const other = this.#pickOther(relay);
      if (other) {
        await this.#trySend(other, items, true);
      }
    }
  }

  #pickOther(relay: Member): Member | undefined {
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
      present.items = [...present.items, ...items].slice(0, MAX_WAITING_ITEMS);
      return present.running;
    }
    const outbox: Outbox<Item> = { items: [...items], running: Promise.resolve() };
    this.#outboxes.set(member.address, outbox);
    outbox.running = this.#drain(member, outbox);
    return outbox.running;
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
    this.#options.logger.debug({ address, fault: getErrorMessage(error) }, 'push failed');
  }
}

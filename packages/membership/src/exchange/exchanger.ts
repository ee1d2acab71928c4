/** Push-pull gossip: each message carries recent updates, and so does each answer. */
import { withTimeout } from '@snipehaven/common';
import type { Exchange, Member, PeerTransport } from '@snipehaven/protocol';
import type { HybridClock } from '@snipehaven/timeline';
import { MAX_PIGGYBACK } from '../constants.js';
import type { MemberRecords } from '../records/memberRecords.js';
import { toPeerTimeout } from '../errors.js';
import { listRepairMembers } from './listRepairMembers.js';
import type { Topics } from './topics.js';

export interface ExchangerOptions {
  readonly records: MemberRecords;
  readonly topics: Topics;
  readonly transport: PeerTransport;
  readonly clock: HybridClock;
  readonly timeoutMs: number;
}

/** Optional parts of a message. */
interface MessageParts {
  readonly members?: readonly Member[];
  readonly topics?: Record<string, unknown>;
  readonly buckets?: readonly number[];
}

const NO_INCARNATIONS: ReadonlySet<string> = new Set();

export class Exchanger {
  readonly #options: ExchangerOptions;

  constructor(options: ExchangerOptions) {
    this.#options = options;
  }

  /** Exchanges updates with a member. Resolves with the answer after it has been applied. */
  async exchange(peer: Member): Promise<Exchange> {
    const topics = this.#options.topics.collect(peer);
    const members = this.#listUpdates(NO_INCARNATIONS, peer);
    return this.#send(peer.address, { members, topics });
  }

  /** Contacts whichever member listens at the address. */
  async contact(address: string): Promise<Exchange> {
    return this.#send(address, { members: this.#listUpdates(NO_INCARNATIONS) });
  }

  /** Exchanges the buckets that differ and resolves with the peer's digest afterwards. */
  async repair(peer: Member): Promise<number> {
    const { digests } = this.#options.records.table;
    const pulled = await this.#send(peer.address, { buckets: [...digests.buckets] });
    const members = this.#listDiffering(pulled.buckets);
    if (members.length === 0) {
      return pulled.digest;
    }
    const pushed = await this.#send(peer.address, { members });
    return pushed.digest;
  }

  /** Applies a peer's message and creates the answer. */
  answer(message: Exchange): Exchange {
    const { records, topics } = this.#options;
    this.#applyMessage(message);
    const known = new Set([message.from, ...message.members].map((member) => member.incarnation));
    const members = [
      ...this.#listUpdates(known, message.from),
      ...this.#listDiffering(message.buckets),
    ];
    return this.#createMessage({
      members: [...new Set(members)],
      topics: message.buckets ? {} : topics.collect(message.from),
      ...(message.buckets ? { buckets: records.table.digests.buckets } : {}),
    });
  }

  async #send(address: string, parts: MessageParts): Promise<Exchange> {
    const { transport, timeoutMs } = this.#options;
    const message = this.#createMessage(parts);
    const call = transport.getPeer(address).membership.exchange(message);
    const answer = await withTimeout(call, timeoutMs, toPeerTimeout(timeoutMs));
    this.#options.records.confirm(answer.from);
    this.#applyMessage(answer);
    return answer;
  }

  #applyMessage(message: Exchange): void {
    const { records, topics, clock } = this.#options;
    clock.observe(message.at);
    this.#recordSender(message.from);
    message.members.forEach((member) => records.merge(member, message.from));
    topics.merge(message.topics, message.from);
    this.#skipKnownBroadcasts(message.digest);
  }

  /**
   * When many members start at once, each record would still be sent for minutes after all members
   * have it, with messages at full size, and control traffic would exceed its budget in a stable
   * network. An equal digest proves that the peer needs none of the updates about live members.
   */
  #skipKnownBroadcasts(digest: number): void {
    const { table, broadcasts } = this.#options.records;
    if (digest === table.digests.all) {
      broadcasts.countAliveAsSent(table.listLive().length);
    }
  }

  /**
   * A delayed message may come from an incarnation that has ended, so only the first contact proves
   * that its sender is alive.
   */
  #recordSender(from: Member): void {
    const { records } = this.#options;
    if (records.table.get(from.incarnation)) {
      records.merge(from, from);
    } else {
      records.confirm(from);
    }
  }

  #createMessage(parts: MessageParts): Exchange {
    const { records, clock } = this.#options;
    return {
      from: records.self,
      members: [...(parts.members ?? [])],
      topics: parts.topics ?? {},
      at: clock.now(),
      digest: records.table.digests.all,
      ...(parts.buckets ? { buckets: [...parts.buckets] } : {}),
    };
  }

  /**
   * Updates that the peer may not have, and suspicions about the peer itself so that it can refute
   * them.
   */
  #listUpdates(known: ReadonlySet<string>, peer?: Member): readonly Member[] {
    const { records } = this.#options;
    const size = records.table.listLive().length;
    const updates = records.broadcasts.take(MAX_PIGGYBACK, size, known);
    return peer ? [...new Set([...updates, ...records.listSuspicions(peer)])] : updates;
  }

  #listDiffering(buckets: readonly number[] | undefined): readonly Member[] {
    return buckets ? listRepairMembers(this.#options.records.table, buckets) : [];
  }
}

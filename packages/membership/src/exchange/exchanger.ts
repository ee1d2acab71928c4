/** Push-pull exchanges: each message carries what changed, and each answer does too. */
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

/** What a message says beyond the changes. */
interface MessageParts {
  readonly members?: readonly Member[];
  readonly topics?: Record<string, unknown>;
  readonly buckets?: readonly number[];
}

const NOBODY: ReadonlySet<string> = new Set();

export class Exchanger {
  readonly #options: ExchangerOptions;

  constructor(options: ExchangerOptions) {
    this.#options = options;
  }

  /** Exchanges news with a member; resolves with the answer, already taken in. */
  async exchange(peer: Member): Promise<Exchange> {
    const topics = this.#options.topics.collect(peer);
    const members = this.#listNews(NOBODY, peer);
    return this.#send(peer.address, { members, topics });
  }

  /** Makes contact with whoever listens at the address. */
  async contact(address: string): Promise<Exchange> {
    return this.#send(address, { members: this.#listNews(NOBODY) });
  }

  /** Exchanges the parts in which both differ; resolves with the peer's digest after it. */
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

  /** Takes in a peer's message and answers it. */
  answer(message: Exchange): Exchange {
    const { records, topics } = this.#options;
    this.#takeIn(message);
    const told = new Set([message.from, ...message.members].map((member) => member.incarnation));
    const members = [
      ...this.#listNews(told, message.from),
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
    this.#takeIn(answer);
    return answer;
  }

  #takeIn(message: Exchange): void {
    const { records, topics, clock } = this.#options;
    clock.observe(message.at);
    this.#meet(message.from);
    message.members.forEach((member) => records.merge(member, message.from));
    topics.merge(message.topics, message.from);
    this.#spareKnown(message.digest);
  }

  /**
   * What goes wrong: when many start at once, each record is sent on long after all have it, for minutes at
   * the full size of messages. One notices control traffic above its budget in a settled network. Equal
   * digests show that the peer needs none of the news of the living.
   */
  #spareKnown(digest: number): void {
    const { table, broadcasts } = this.#options.records;
    if (digest === table.digests.all) {
      broadcasts.countKnown(table.listLive().length);
    }
  }

  /** A message that arrives late may come from a life that has ended: only a first contact proves one. */
  #meet(from: Member): void {
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

  /** Changes that others may lack, and the doubts about the peer itself, so that it refutes them. */
  #listNews(told: ReadonlySet<string>, peer?: Member): readonly Member[] {
    const { records } = this.#options;
    const size = records.table.listLive().length;
    const news = records.broadcasts.take(MAX_PIGGYBACK, size, told);
    return peer ? [...new Set([...news, ...records.listDoubts(peer)])] : news;
  }

  #listDiffering(buckets: readonly number[] | undefined): readonly Member[] {
    return buckets ? listRepairMembers(this.#options.records.table, buckets) : [];
  }
}

/** Queue of updated records to be gossiped, each a bounded number of times. */
import type { Member } from '@snipehaven/protocol';
import { TRANSMITS_PER_LOG_SIZE } from '../constants.js';

interface Broadcast {
  readonly member: Member;
  readonly sentCount: number;
}

const getSendLimit = (size: number): number =>
  TRANSMITS_PER_LOG_SIZE * Math.ceil(Math.log10(size + 1));

export class BroadcastQueue {
  readonly #broadcasts = new Map<string, Broadcast>();

  /** Queues a record and replaces an older one of the same incarnation. */
  add(member: Member): void {
    this.#broadcasts.set(member.incarnation, { member, sentCount: 0 });
  }

  /** Takes the records sent least often, except those that the receiver has just sent itself. */
  take(limit: number, size: number, known: ReadonlySet<string>): readonly Member[] {
    const taken = [...this.#broadcasts.values()]
      .filter((broadcast) => !known.has(broadcast.member.incarnation))
      .sort((a, b) => a.sentCount - b.sentCount)
      .slice(0, limit);
    taken.forEach((broadcast) => this.#countSend(broadcast, size));
    return taken.map((broadcast) => broadcast.member);
  }

  /** Counts records of live members as sent to a peer whose digest proves that it has them. */
  countAliveAsSent(size: number): void {
    [...this.#broadcasts.values()]
      .filter((broadcast) => broadcast.member.state === 'alive')
      .forEach((broadcast) => this.#countSend(broadcast, size));
  }

  clear(): void {
    this.#broadcasts.clear();
  }

  #countSend({ member, sentCount }: Broadcast, size: number): void {
    if (sentCount + 1 >= getSendLimit(size)) {
      this.#broadcasts.delete(member.incarnation);
    } else {
      this.#broadcasts.set(member.incarnation, { member, sentCount: sentCount + 1 });
    }
  }
}

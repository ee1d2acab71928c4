/**
 * What the other daemons have at the upstreams. Without it each daemon sees its own requests only, a
 * ninth of an upstream's queue or less, and long prompts of several daemons meet at one engine.
 */
import type { LoadMessage, UpstreamLoad } from './loadMessage.js';

interface PeerState {
  readonly message: LoadMessage;
  readonly heardAtMs: number;
}

/** A peer that was not heard for this long is gone, or its work is no longer what it said. */
const MAX_AGE_MS = 2_000;

const NO_LOAD: UpstreamLoad = { work: 0, requests: 0 };

export class PeerLoads {
  readonly #peers = new Map<string, PeerState>();

  readonly #sums = new Map<string, { work: number; requests: number }>();

  /** Takes a peer's message unless a newer one of the same process came before. */
  take(message: LoadMessage, nowMs: number): void {
    const known = this.#peers.get(message.vm)?.message;
    if (known?.process === message.process && known.sequence >= message.sequence) {
      return;
    }
    if (known !== undefined) {
      this.#add(known, -1);
    }
    this.#peers.set(message.vm, { message, heardAtMs: nowMs });
    this.#add(message, 1);
  }

  /** Forgets peers that fell silent. */
  dropSilent(nowMs: number): void {
    for (const [vm, { message, heardAtMs }] of this.#peers) {
      if (nowMs - heardAtMs > MAX_AGE_MS) {
        this.#add(message, -1);
        this.#peers.delete(vm);
      }
    }
  }

  /** Heard within the time after which it counts as gone. */
  isHeard(vm: string): boolean {
    return this.#peers.has(vm);
  }

  /** What the daemons of a data centre have, this one's own loads among them. */
  sumUp(dataCentre: string, own: ReadonlyMap<string, UpstreamLoad>): Map<string, UpstreamLoad> {
    const sums = new Map<string, UpstreamLoad>(own);
    for (const { message } of this.#peers.values()) {
      if (message.dataCentre === dataCentre && !message.isSum) {
        for (const [upstream, { work, requests }] of message.loads) {
          const sum = sums.get(upstream) ?? NO_LOAD;
          sums.set(upstream, { work: sum.work + work, requests: sum.requests + requests });
        }
      }
    }
    return sums;
  }

  get(upstream: string): UpstreamLoad {
    return this.#sums.get(upstream) ?? NO_LOAD;
  }

  #add(message: LoadMessage, sign: 1 | -1): void {
    for (const [upstream, { work, requests }] of message.loads) {
      const sum = this.#sums.get(upstream) ?? { work: 0, requests: 0 };
      sum.work += sign * work;
      sum.requests += sign * requests;
      if (sum.requests > 0) {
        this.#sums.set(upstream, sum);
      } else {
        this.#sums.delete(upstream);
      }
    }
  }
}

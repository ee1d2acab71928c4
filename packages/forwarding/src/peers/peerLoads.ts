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

type LoadSums = Map<string, UpstreamLoad>;

/** Adds a message's loads to the sums, or takes them off; upstreams without requests are left out. */
const addLoads = (sums: LoadSums, { loads }: LoadMessage, sign: 1 | -1): void => {
  for (const [upstream, load] of loads) {
    const sum = sums.get(upstream) ?? NO_LOAD;
    const requests = sum.requests + sign * load.requests;
    if (requests > 0) {
      sums.set(upstream, { work: sum.work + sign * load.work, requests });
    } else {
      sums.delete(upstream);
    }
  }
};

export class PeerLoads {
  readonly #peers = new Map<string, PeerState>();

  readonly #sums: LoadSums = new Map();

  /** Takes a peer's message unless a newer one of the same process came before. */
  take(message: LoadMessage, nowMs: number): void {
    const known = this.#peers.get(message.vm)?.message;
    if (known?.process === message.process && known.sequence >= message.sequence) {
      return;
    }
    if (known !== undefined) {
      addLoads(this.#sums, known, -1);
    }
    this.#peers.set(message.vm, { message, heardAtMs: nowMs });
    addLoads(this.#sums, message, 1);
  }

  /** Forgets peers that fell silent. */
  dropSilent(nowMs: number): void {
    for (const [vm, { message, heardAtMs }] of this.#peers) {
      if (nowMs - heardAtMs > MAX_AGE_MS) {
        addLoads(this.#sums, message, -1);
        this.#peers.delete(vm);
      }
    }
  }

  /** Heard within the time after which it counts as gone. */
  isHeard(vm: string): boolean {
    return this.#peers.has(vm);
  }

  /** What the daemons of a data centre have, this one's own loads among them. */
  sumUp(dataCentre: string, own: ReadonlyMap<string, UpstreamLoad>): LoadSums {
    const sums: LoadSums = new Map(own);
    for (const { message } of this.#peers.values()) {
      if (message.dataCentre === dataCentre && !message.isSum) {
        addLoads(sums, message, 1);
      }
    }
    return sums;
  }

  get(upstream: string): UpstreamLoad {
    return this.#sums.get(upstream) ?? NO_LOAD;
  }
}

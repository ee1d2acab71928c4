/** The other daemons, by data centre. */
import { pickRandom, type Random } from '@snipehaven/common';
import { getAffinityWeight, hashAffinityKey } from '@snipehaven/policy';

export interface Peer {
  readonly vm: string;
  readonly dataCentre: string;
  readonly host: string;
  readonly port: number;
}

const TELLER_KEY = hashAffinityKey('teller');

export class PeerDirectory {
  readonly self: Peer;

  readonly #random: Random;

  readonly #peers = new Map<string, Peer>();

  constructor(self: Peer, random: Random) {
    this.self = self;
    this.#random = random;
  }

  /** Daemons known, this one among them. */
  get daemons(): number {
    return this.#peers.size + 1;
  }

  get all(): readonly Peer[] {
    return [...this.#peers.values()];
  }

  /** Those of this daemon's data centre. */
  get local(): readonly Peer[] {
    return this.all.filter(({ dataCentre }) => dataCentre === this.self.dataCentre);
  }

  put(peer: Peer): void {
    if (peer.vm !== this.self.vm) {
      this.#peers.set(peer.vm, peer);
    }
  }

  /** Whether the sender is a daemon of another data centre. */
  isFar(host: string): boolean {
    const sender = this.all.find((peer) => peer.host === host);
    return sender !== undefined && sender.dataCentre !== this.self.dataCentre;
  }

  /** One of each other data centre, drawn anew each time: whoever is drawn may be cut off. */
  pickFar(): readonly Peer[] {
    const groups = new Map<string, Peer[]>();
    for (const peer of this.#peers.values()) {
      if (peer.dataCentre !== this.self.dataCentre) {
        groups.set(peer.dataCentre, [...(groups.get(peer.dataCentre) ?? []), peer]);
      }
    }
    return [...groups.values()].flatMap((group) => pickRandom(group, this.#random) ?? []);
  }

  /** Whether this daemon tells other data centres what its own has: the first in an order known to all. */
  isTeller(isAlive: (vm: string) => boolean): boolean {
    const own = getAffinityWeight(TELLER_KEY, this.self.vm);
    return !this.local.some(({ vm }) => isAlive(vm) && getAffinityWeight(TELLER_KEY, vm) > own);
  }
}

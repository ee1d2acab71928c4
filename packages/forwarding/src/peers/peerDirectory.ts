/**
 * The known other daemons, grouped by data centre. Lists and orders are needed for each datagram,
 * so they are cached until a daemon is added or removed.
 */
import { forgetOldest, pickRandom, type Random } from '@snipehaven/common';
import { countBefore, RendezvousOrder } from './rendezvousOrder.js';

export interface Peer {
  readonly vm: string;
  readonly dataCentre: string;
  readonly host: string;
  readonly port: number;
}

/**
 * Limits the cached counts of `countBefore`; more than the number of upstreams that are cold at a
 * time.
 */
const MAX_CACHED_KEYS = 1_024;

/** Limits the cached results of `listFirst`; more than the upstreams that are brittle at a time. */
const MAX_CACHED_FIRSTS = 4_096;

interface Lists {
  readonly all: readonly Peer[];
  readonly local: readonly Peer[];
  readonly remote: ReadonlyMap<string, readonly Peer[]>;
}

interface Ranks {
  readonly all: readonly string[];
  readonly local: readonly string[];
}

export class PeerDirectory {
  readonly self: Peer;

  readonly #random: Random;

  readonly #peers = new Map<string, Peer>();

  readonly #byHost = new Map<string, Peer>();

  #lists: Lists | undefined;

  readonly #ranks = new Map<RendezvousOrder, Ranks>();

  readonly #countsBefore = new Map<string, number>();

  /** By key and data centre. */
  readonly #firsts = new Map<string, readonly string[]>();

  constructor(self: Peer, random: Random) {
    this.self = self;
    this.#random = random;
  }

  /** Number of known daemons, including this one. */
  get daemonCount(): number {
    return this.#peers.size + 1;
  }

  get all(): readonly Peer[] {
    return this.#getLists().all;
  }

  /** Other daemons of this data centre. */
  get local(): readonly Peer[] {
    return this.#getLists().local;
  }

  /** All daemons in the given order, including this one. */
  rank(order: RendezvousOrder): readonly string[] {
    return this.#getRanks(order).all;
  }

  /** The daemons of this data centre in the given order, including this one. */
  rankLocal(order: RendezvousOrder): readonly string[] {
    return this.#getRanks(order).local;
  }

  /** Number of daemons that precede this one in the rendezvous order of the key. */
  countBefore(key: string): number {
    const known = this.#countsBefore.get(key);
    if (known !== undefined) {
      return known;
    }
    const count = countBefore(key, this.self.vm, [...this.#peers.keys()]);
    this.#countsBefore.set(key, count);
    forgetOldest(this.#countsBefore, MAX_CACHED_KEYS);
    return count;
  }

  /**
   * The first daemons in the rendezvous order of the key: of this data centre and of the others by turns,
   * so that one is left when either cannot be reached. Fewer if there are no more.
   */
  listFirst(key: string, dataCentre: string, count: number): readonly string[] {
    const cacheKey = `${key}|${dataCentre}|${count}`;
    const known = this.#firsts.get(cacheKey);
    if (known !== undefined) {
      return known;
    }
    const first = this.#findFirst(key, dataCentre, count);
    this.#firsts.set(cacheKey, first);
    forgetOldest(this.#firsts, MAX_CACHED_FIRSTS);
    return first;
  }

  find(vm: string): Peer | undefined {
    return this.#peers.get(vm);
  }

  /** Returns false if nothing changed. */
  put(peer: Peer): boolean {
    const known = this.#peers.get(peer.vm);
    const isSame =
      known?.host === peer.host && known.port === peer.port && known.dataCentre === peer.dataCentre;
    if (isSame || peer.vm === this.self.vm) {
      return false;
    }
    this.#forgetHost(known);
    this.#peers.set(peer.vm, peer);
    this.#byHost.set(peer.host, peer);
    this.#invalidateLists();
    return true;
  }

  remove(vm: string): void {
    this.#forgetHost(this.#peers.get(vm));
    this.#peers.delete(vm);
    this.#invalidateLists();
  }

  /** Whether the address is that of a known daemon. */
  hasHost(host: string): boolean {
    return this.#byHost.has(host);
  }

  /** Whether the sender is a daemon of another data centre. */
  isRemote(host: string): boolean {
    const sender = this.#byHost.get(host);
    return sender !== undefined && sender.dataCentre !== this.self.dataCentre;
  }

  /**
   * One random daemon of each other data centre, picked anew each time because any of them may be
   * disconnected.
   */
  pickRemotePeers(): readonly Peer[] {
    const groups = [...this.#getLists().remote.values()];
    return groups.flatMap((group) => pickRandom(group, this.#random) ?? []);
  }

  /** Any other daemon, picked at random. */
  pickAny(): Peer | undefined {
    return pickRandom(this.all, this.#random);
  }

  #findFirst(key: string, dataCentre: string, count: number): readonly string[] {
    const order = new RendezvousOrder(key);
    const daemons = [this.self, ...this.#peers.values()];
    const rank = (isLocal: boolean): readonly string[] =>
      order.rank(
        daemons.filter((one) => (one.dataCentre === dataCentre) === isLocal).map(({ vm }) => vm),
      );
    const local = rank(true);
    const remote = rank(false);
    const byTurns = daemons.flatMap((_, turn) => [local[turn], remote[turn]]);
    return byTurns.filter((vm) => vm !== undefined).slice(0, count);
  }

  #forgetHost(peer: Peer | undefined): void {
    if (peer !== undefined && this.#byHost.get(peer.host)?.vm === peer.vm) {
      this.#byHost.delete(peer.host);
    }
  }

  #invalidateLists(): void {
    this.#lists = undefined;
    this.#ranks.clear();
    this.#countsBefore.clear();
    this.#firsts.clear();
  }

  #getRanks(order: RendezvousOrder): Ranks {
    const known = this.#ranks.get(order);
    if (known !== undefined) {
      return known;
    }
    const rank = (peers: readonly Peer[]) => order.rank([this.self, ...peers].map(({ vm }) => vm));
    const ranks = { all: rank(this.all), local: rank(this.local) };
    this.#ranks.set(order, ranks);
    return ranks;
  }

  #getLists(): Lists {
    this.#lists ??= this.#buildLists();
    return this.#lists;
  }

  #buildLists(): Lists {
    const all = [...this.#peers.values()];
    const local = all.filter(({ dataCentre }) => dataCentre === this.self.dataCentre);
    const far = new Map<string, Peer[]>();
    for (const peer of all) {
      if (peer.dataCentre !== this.self.dataCentre) {
        const group = far.get(peer.dataCentre) ?? [];
        group.push(peer);
        far.set(peer.dataCentre, group);
      }
    }
    return { all, local, remote: far };
  }
}

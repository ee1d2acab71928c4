/**
 * What the other daemons have at the upstreams. Without it each daemon sees its own requests only, a
 * ninth of an upstream's queue or less, and long prompts of several daemons meet at one engine.
 */
import type { ModelWork, PaceSum } from '@snipehaven/policy';
import { sumLearned, type Learned, type ServiceRolloutCounts } from './learned.js';
import type { LoadMessage, LoadScope, UpstreamLoad } from './loadMessage.js';

interface PeerState {
  readonly message: LoadMessage;
  readonly heardAtMs: number;
}

/** A peer that was not heard for this long is gone, or its work is no longer what it said. */
const MAX_AGE_MS = 2_000;

const NO_LOAD: UpstreamLoad = { work: 0, requests: 0 };

const FLEET_KEY = 'fleet';

type LoadSums = Map<string, UpstreamLoad>;

/** Adds a message's loads to the sums, or takes them off; upstreams without requests are left out. */
const addLoads = (sums: LoadSums, { loads }: Pick<LoadMessage, 'loads'>, sign: 1 | -1): void => {
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

/** By whom the loads are: of two messages with the same key the newer one counts. */
const getKey: Readonly<Record<LoadScope, (message: LoadMessage) => string>> = {
  own: ({ vm }) => `vm/${vm}`,
  dataCentre: ({ dataCentre }) => `dataCentre/${dataCentre}`,
  fleet: () => FLEET_KEY,
};

/**
 * What others have of a sum of which this daemon told a part. The sum may hold an earlier part than the
 * one given, for as long as a datagram takes: never less than nothing.
 */
export const subtractLoads = (
  sum: ReadonlyMap<string, UpstreamLoad>,
  part: ReadonlyMap<string, UpstreamLoad>,
): ReadonlyMap<string, UpstreamLoad> => {
  const rest: LoadSums = new Map();
  for (const [upstream, load] of sum) {
    const own = part.get(upstream) ?? NO_LOAD;
    const requests = load.requests - own.requests;
    if (requests > 0) {
      rest.set(upstream, { work: Math.max(0, load.work - own.work), requests });
    }
  }
  return rest;
};

export class PeerLoads {
  readonly #peers = new Map<string, PeerState>();

  readonly #sums: LoadSums = new Map();

  /** Of all messages; undefined when one came or went since. */
  #learned: Learned | undefined;

  /** Takes a message unless a newer one of the same process came before. */
  take(message: LoadMessage, nowMs: number): void {
    const key = getKey[message.scope](message);
    const known = this.#peers.get(key)?.message;
    if (known?.process === message.process && known.sequence >= message.sequence) {
      return;
    }
    this.#dropOverlap(key);
    this.#drop(key);
    this.#peers.set(key, { message, heardAtMs: nowMs });
    this.#learned = undefined;
    addLoads(this.#sums, message, 1);
  }

  /** Forgets peers that fell silent. */
  dropSilent(nowMs: number): void {
    for (const [key, { heardAtMs }] of this.#peers) {
      if (nowMs - heardAtMs > MAX_AGE_MS) {
        this.#drop(key);
      }
    }
  }

  /** What the daemons of a data centre have, this one's own loads among them. */
  sumUp(dataCentre: string, own: ReadonlyMap<string, UpstreamLoad>): LoadSums {
    const sums: LoadSums = new Map(own);
    for (const { message } of this.#peers.values()) {
      if (message.dataCentre === dataCentre && message.scope === 'own') {
        addLoads(sums, message, 1);
      }
    }
    return sums;
  }

  /** What all daemons have, this one's own loads among them. */
  sumUpFleet(own: ReadonlyMap<string, UpstreamLoad>): LoadSums {
    const sums: LoadSums = new Map(own);
    addLoads(sums, { loads: this.#sums }, 1);
    return sums;
  }

  /** What others learned of engines. */
  get learned(): Learned {
    this.#learned ??= sumLearned(this.#listMessages().map(({ learned }) => learned));
    return this.#learned;
  }

  /** What the other daemons of a data centre learned. */
  findLearnedIn(dataCentre: string): Learned {
    const local = this.#listMessages().filter(
      (message) => message.dataCentre === dataCentre && message.scope === 'own',
    );
    return sumLearned(local.map(({ learned }) => learned));
  }

  findPace(service: string): PaceSum | undefined {
    return this.learned.paces.find((pace) => pace.service === service);
  }

  listDemands(service: string): readonly ModelWork[] {
    return this.learned.demands.filter((demand) => demand.service === service);
  }

  /** The roll-out's answer counts, summed over the reachable peers. */
  findRolloutCounts(service: string, orderVersion: number): ServiceRolloutCounts | undefined {
    return this.learned.rollouts.find(
      (one) => one.service === service && one.orderVersion === orderVersion,
    );
  }

  /** Daemons that told their own work. */
  get daemons(): number {
    return this.#listMessages().filter(({ scope }) => scope === 'own').length;
  }

  get(upstream: string): UpstreamLoad {
    return this.#sums.get(upstream) ?? NO_LOAD;
  }

  #listMessages(): readonly LoadMessage[] {
    return [...this.#peers.values()].map(({ message }) => message);
  }

  /** The sum over the fleet holds what the other messages hold: only one of both counts. */
  #dropOverlap(key: string): void {
    if (key !== FLEET_KEY) {
      this.#drop(FLEET_KEY);
      return;
    }
    [...this.#peers.keys()].filter((other) => other !== key).forEach((other) => this.#drop(other));
  }

  #drop(key: string): void {
    const known = this.#peers.get(key);
    if (known !== undefined) {
      addLoads(this.#sums, known.message, -1);
      this.#peers.delete(key);
      this.#learned = undefined;
    }
  }
}

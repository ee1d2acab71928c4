/**
 * Loads of the other daemons at the upstreams. Without them a daemon sees only its own requests, a
 * ninth of an upstream's queue or less, and long prompts of several daemons meet at one engine.
 */
import { isSameRevision, type StoreRevision } from '../store/storeRevision.js';
import type { ModelWork, PaceSum } from '@snipehaven/policy';
import {
  sumStatistics,
  type SharedStatistics,
  type ServiceRolloutCounts,
} from './sharedStatistics.js';
import type { LoadMessage, LoadScope, UpstreamLoad } from './loadMessage.js';

interface LoadEntry {
  readonly message: LoadMessage;
  readonly heardAtMs: number;
}

/** A peer that has been silent for this long is gone, or its last loads are outdated. */
const MAX_AGE_MS = 2_000;

const NO_LOAD: UpstreamLoad = { work: 0, requests: 0 };

const FLEET_KEY = 'fleet';

type LoadSums = Map<string, UpstreamLoad>;

/** Adds a message's loads to the sums or subtracts them; upstreams without requests are removed. */
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

/** Identifies what the loads cover; of two messages with the same key only the newer one counts. */
const getKey: Readonly<Record<LoadScope, (message: LoadMessage) => string>> = {
  own: ({ vm }) => `vm/${vm}`,
  dataCentre: ({ dataCentre }) => `dataCentre/${dataCentre}`,
  fleet: () => FLEET_KEY,
};

/**
 * The loads of others in a sum that includes a part sent by this daemon. The sum may include an
 * earlier version of that part for as long as a datagram takes, so the result is clamped at zero.
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
  readonly #entries = new Map<string, LoadEntry>();

  readonly #sums: LoadSums = new Map();

  /** Cached sum over all messages; undefined after any of them was added or removed. */
  #statistics: SharedStatistics | undefined;

  /** Ignores the message if a newer one of the same process was received before. */
  receive(message: LoadMessage, nowMs: number): void {
    const key = getKey[message.scope](message);
    const known = this.#entries.get(key)?.message;
    if (known?.process === message.process && known.sequence >= message.sequence) {
      return;
    }
    this.#dropOverlap(key);
    this.#drop(key);
    this.#entries.set(key, { message, heardAtMs: nowMs });
    this.#statistics = undefined;
    addLoads(this.#sums, message, 1);
  }

  /** Removes the loads of peers that have not been heard for `MAX_AGE_MS`. */
  evictSilent(nowMs: number): void {
    for (const [key, { heardAtMs }] of this.#entries) {
      if (nowMs - heardAtMs > MAX_AGE_MS) {
        this.#drop(key);
      }
    }
  }

  /** Loads of all daemons of a data centre, including this one's. */
  sumDataCentre(dataCentre: string, own: ReadonlyMap<string, UpstreamLoad>): LoadSums {
    const sums: LoadSums = new Map(own);
    for (const { message } of this.#entries.values()) {
      if (message.dataCentre === dataCentre && message.scope === 'own') {
        addLoads(sums, message, 1);
      }
    }
    return sums;
  }

  /** Loads of all daemons, including this one's. */
  sumFleet(own: ReadonlyMap<string, UpstreamLoad>): LoadSums {
    const sums: LoadSums = new Map(own);
    addLoads(sums, { loads: this.#sums }, 1);
    return sums;
  }

  /** Combined statistics of the other daemons. */
  get statistics(): SharedStatistics {
    this.#statistics ??= sumStatistics(this.#listMessages().map(({ learned }) => learned));
    return this.#statistics;
  }

  /** Combined statistics of the other daemons of a data centre. */
  getDataCentreStatistics(dataCentre: string): SharedStatistics {
    const local = this.#listMessages().filter(
      (message) => message.dataCentre === dataCentre && message.scope === 'own',
    );
    return sumStatistics(local.map(({ learned }) => learned));
  }

  findPace(service: string): PaceSum | undefined {
    return this.statistics.paces.find((pace) => pace.service === service);
  }

  listDemands(service: string): readonly ModelWork[] {
    return this.statistics.demands.filter((demand) => demand.service === service);
  }

  /** The roll-out's answer counts, summed over the reachable peers. */
  findRolloutCounts(
    service: string,
    orderRevision: StoreRevision,
  ): ServiceRolloutCounts | undefined {
    return this.statistics.rollouts.find(
      (one) => one.service === service && isSameRevision(one.orderRevision, orderRevision),
    );
  }

  /** Number of daemons whose own loads were received directly. */
  get reportingDaemonCount(): number {
    return this.#listMessages().filter(({ scope }) => scope === 'own').length;
  }

  get(upstream: string): UpstreamLoad {
    return this.#sums.get(upstream) ?? NO_LOAD;
  }

  #listMessages(): readonly LoadMessage[] {
    return [...this.#entries.values()].map(({ message }) => message);
  }

  /** The fleet-wide sum includes the other messages, so only one of both may count. */
  #dropOverlap(key: string): void {
    if (key !== FLEET_KEY) {
      this.#drop(FLEET_KEY);
      return;
    }
    [...this.#entries.keys()]
      .filter((other) => other !== key)
      .forEach((other) => this.#drop(other));
  }

  #drop(key: string): void {
    const known = this.#entries.get(key);
    if (known !== undefined) {
      addLoads(this.#sums, known.message, -1);
      this.#entries.delete(key);
      this.#statistics = undefined;
    }
  }
}

/**
 * Orders of daemons that all daemons compute alike without coordination, by rendezvous hashing.
 * Each role has its own order, which mixes data centres.
 */
import { getAffinityWeight, hashAffinityKey } from '@snipehaven/policy';

export class RendezvousOrder {
  readonly #key: number;

  /**
   * The role is part of the hash, so that the first daemons of one role are not the first of the
   * next.
   */
  constructor(role: string) {
    this.#key = hashAffinityKey(role);
  }

  isBefore(vm: string, other: string): boolean {
    const weight = getAffinityWeight(this.#key, vm);
    const otherWeight = getAffinityWeight(this.#key, other);
    return weight > otherWeight || (weight === otherWeight && vm < other);
  }

  rank(vms: readonly string[]): readonly string[] {
    return [...vms].sort((a, b) => (this.isBefore(a, b) ? -1 : 1));
  }
}

/** Number of daemons that precede this one in the order of the key. */
export const countBefore = (key: string, vm: string, others: readonly string[]): number => {
  const order = new RendezvousOrder(key);
  return others.filter((other) => order.isBefore(other, vm)).length;
};

/** Order in which daemons become aggregator of their data centre. */
export const AGGREGATOR_ORDER = new RendezvousOrder('aggregator');

/** Order in which daemons read the store's tables. */
export const READER_ORDER = new RendezvousOrder('reader');

/** Order in which daemons write the status of roll-outs. */
export const WRITER_ORDER = new RendezvousOrder('writer');

/** The order in which other daemons are asked to relay connections. */
import { pickRandom, type Random } from '@snipehaven/common';
import type { Peer, PeerDirectory } from '../peers/index.js';
import { MAX_UNAVAILABLE, UNAVAILABLE_MS } from './constants.js';

const shuffle = <Item>(items: readonly Item[], random: Random): Item[] => {
  const rest = [...items];
  const shuffled: Item[] = [];
  for (let next = pickRandom(rest, random); next !== undefined; next = pickRandom(rest, random)) {
    rest.splice(rest.indexOf(next), 1);
    shuffled.push(next);
  }
  return shuffled;
};

/** The first of each group, then the second of each, and so on. */
const interleave = <Item>(groups: readonly (readonly Item[])[]): readonly Item[] => {
  const longest = Math.max(0, ...groups.map(({ length }) => length));
  return Array.from({ length: longest }, (_, index) => index).flatMap((index) =>
    groups.flatMap((group) => group.slice(index, index + 1)),
  );
};

export class RelayRanking {
  readonly #directory: PeerDirectory;

  readonly #random: Random;

  /** By VM: until when it is asked last. */
  readonly #unavailableUntilMs = new Map<string, number>();

  constructor(directory: PeerDirectory, random: Random) {
    this.#directory = directory;
    this.#random = random;
  }

  recordUnavailable({ vm }: Peer, nowMs: number): void {
    this.#unavailableUntilMs.set(vm, nowMs + UNAVAILABLE_MS);
  }

  recordAvailable({ vm }: Peer): void {
    this.#unavailableUntilMs.delete(vm);
  }

  /**
   * Begins in this data centre, then in that of the upstream, where relaying takes no longer way;
   * alternates between data centres, as all daemons of one may have lost the same paths. Ends with few of
   * those that could not relay a moment ago: a VM that reaches nobody would wait for all of them.
   */
  list(upstreamDataCentre: string, nowMs: number): readonly Peer[] {
    const isAvailable = ({ vm }: Peer): boolean =>
      nowMs >= (this.#unavailableUntilMs.get(vm) ?? -Infinity);
    const all = this.#order(upstreamDataCentre);
    const available = all.filter(isAvailable);
    const unavailable = all.filter((peer) => !isAvailable(peer));
    return [...available, ...unavailable.slice(0, MAX_UNAVAILABLE)];
  }

  #order(upstreamDataCentre: string): readonly Peer[] {
    const { self, all } = this.#directory;
    const names = new Set([self.dataCentre, upstreamDataCentre]);
    all.forEach(({ dataCentre }) => names.add(dataCentre));
    const groups = [...names].map((name) => {
      const group = all.filter(({ dataCentre }) => dataCentre === name);
      return shuffle(group, this.#random);
    });
    return interleave(groups);
  }
}

/**
 * Who sums up what a data centre's daemons tell of their work, and tells it to all of them. No vote:
 * whoever is heard goes on, of two the one that counts more daemons, and after a silence the daemons
 * get their turn one after another in an order that all know. Two at once do little harm: each tells
 * what it was told.
 */
import { AGGREGATOR_ORDER } from './peerOrder.js';

/**
 * Sums come each 150 ms, every other may be lost: silent for longer, the aggregator is dead, frozen or
 * cut off. Until the next one speaks daemons place by what they knew and by their own work.
 */
export const AGGREGATOR_SILENCE_MS = 600;

/** The next in the order speaks within a tick and is heard soon after; else the turn goes on. */
const TURN_MS = 300;

/** Of a sum: who told it, and how many daemons it counts. */
export interface SumOrigin {
  readonly vm: string;
  readonly members: number;
}

export class AggregatorElection {
  readonly #self: string;

  readonly #listRanked: () => readonly string[];

  /** Whoever sums up, as last heard; undefined before any. */
  #current: string | undefined;

  /** Daemons that its last sum counted. */
  #members = 0;

  /** When it was last heard, or when waiting for one began. */
  #heardAtMs: number;

  /** `listRanked`: the data centre's daemons in the common order, this one among them. */
  constructor(self: string, listRanked: () => readonly string[], nowMs: number) {
    this.#self = self;
    this.#listRanked = listRanked;
    this.#heardAtMs = nowMs;
  }

  /** To whom work is told; undefined while nobody was heard and the first silence is not over. */
  find(nowMs: number): string | undefined {
    if (this.#current === this.#self) {
      return this.#self;
    }
    const silentMs = nowMs - this.#heardAtMs;
    if (silentMs <= AGGREGATOR_SILENCE_MS) {
      return this.#current;
    }
    const next = this.#findNext(silentMs);
    if (next === this.#self) {
      this.#current = this.#self;
      this.#members = 0;
    }
    return next;
  }

  isSelf(nowMs: number): boolean {
    return this.find(nowMs) === this.#self;
  }

  /** A sum came from this daemon. False when another one's sums are taken. */
  noteSum({ vm, members }: SumOrigin, nowMs: number): boolean {
    if (this.#isTaken({ vm, members }, nowMs)) {
      this.#current = vm;
      this.#members = members;
      this.#heardAtMs = nowMs;
      return true;
    }
    return false;
  }

  /** This daemon sums up, and counts so many others. */
  noteOwnSum(members: number): void {
    this.#members = members;
  }

  /**
   * This daemon stood still. If it summed up, another does so by now, and its own sums would lack all
   * that it was not told meanwhile: it waits for the other's first.
   */
  notePause(nowMs: number): void {
    if (this.#current === this.#self) {
      this.#current = undefined;
    }
    this.#heardAtMs = nowMs;
  }

  /**
   * Of two that are heard the one counts that was told of more daemons: one that was cut off alone
   * comes back and sums up nothing but its own.
   */
  #isTaken({ vm, members }: SumOrigin, nowMs: number): boolean {
    const current = this.#current;
    const isSilent = current !== this.#self && nowMs - this.#heardAtMs > AGGREGATOR_SILENCE_MS;
    if (current === undefined || current === vm || isSilent) {
      return true;
    }
    const isEqual = members === this.#members;
    return isEqual ? AGGREGATOR_ORDER.isBefore(vm, current) : members > this.#members;
  }

  #findNext(silentMs: number): string | undefined {
    const others = this.#listRanked().filter((vm) => vm !== this.#current);
    const turn = Math.floor((silentMs - AGGREGATOR_SILENCE_MS) / TURN_MS);
    return others[turn % others.length];
  }
}

/** Borrows a place for each request of this daemon to a brittle upstream. */
import { divideByRank } from '@snipehaven/policy';
import type { UpstreamEntry } from '../upstreams/index.js';
import {
  ABANDONED_LINGER_MS,
  HELD_INTERVAL_MS,
  MAX_ABANDONED_MS,
  MAX_SILENT_OWNER_MS,
  REPLY_TIMEOUT_MS,
  RETURN_REPEATS,
  SILENT_OWNER_MS,
} from './constants.js';
import type {
  Borrower,
  Holding,
  Place,
  PlaceId,
  PlaceMessage,
  PlaceOutcome,
  PlaceReply,
  PlaceReturn,
} from './types.js';

export interface PlaceBorrowerOptions {
  readonly self: Borrower;
  /** The daemons that lend the upstream's places, this one perhaps among them. */
  listOwners(entry: UpstreamEntry): readonly string[];
  /** Undefined while the upstream is not known to be brittle. */
  getRejectionsPerS(entry: UpstreamEntry): number | undefined;
  /** Upstreams that are known to be brittle. */
  listBrittle(): readonly UpstreamEntry[];
  send(vm: string, message: PlaceMessage): void;
}

interface HeldPlace {
  readonly id: PlaceId;
  readonly owner: string;
  readonly entry: UpstreamEntry;
  /** The request is in flight; false once it was abandoned. */
  isInUse: boolean;
}

interface Question {
  readonly owner: string;
  readonly entry: UpstreamEntry;
  settle(isGranted: boolean): void;
}

const wait = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs).unref();
  });

export class PlaceBorrower {
  readonly #options: PlaceBorrowerOptions;

  #lastId: PlaceId = 0;

  readonly #questions = new Map<PlaceId, Question>();

  readonly #held = new Map<PlaceId, HeldPlace>();

  /** When an owner may be asked again, by upstream and owner. */
  readonly #askAgainAtMs = new WeakMap<UpstreamEntry, Map<string, number>>();

  /** The last returns to each owner, newest last. */
  readonly #returned = new Map<string, readonly PlaceReturn[]>();

  /** For how long an owner that does not reply is not asked, by owner. */
  readonly #silenceMs = new Map<string, number>();

  /**
   * Incarnations for which an owner was asked for places since the last list of holdings: what was lent or
   * returned by a datagram that is lost is settled by the next list.
   */
  readonly #askedLives = new Map<string, Set<string>>();

  /** Undefined while there is nothing to tell. */
  #timer: NodeJS.Timeout | undefined;

  constructor(options: PlaceBorrowerOptions) {
    this.#options = options;
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  isNeeded(entry: UpstreamEntry): boolean {
    return this.#options.getRejectionsPerS(entry) !== undefined;
  }

  /** Time in ms until an owner may be asked for a place again; 0 if one may now, or none is needed. */
  getWaitMs(entry: UpstreamEntry, nowMs: number): number {
    if (!this.isNeeded(entry)) {
      return 0;
    }
    if (!this.#askAgainAtMs.has(entry)) {
      return 0;
    }
    const waits = this.#options
      .listOwners(entry)
      .map((owner) => this.#getAskAgainAtMs(entry, owner) - nowMs);
    return Math.max(0, Math.min(...waits));
  }

  /** Number of places in use or not known to be free yet. */
  countHeld(entry: UpstreamEntry): number {
    return [...this.#held.values()].filter((one) => one.entry === entry).length;
  }

  /** Asks the owners one after the other; undefined if none lends a place. */
  async borrow(entry: UpstreamEntry): Promise<Place | undefined> {
    const owners = this.#options.listOwners(entry);
    const { vm } = this.#options.self;
    // Alternates, so that the places of all owners are used.
    const turn = this.#lastId % Math.max(1, owners.length);
    const rotated = [...owners.slice(turn), ...owners.slice(0, turn)];
    const ownFirst = rotated.sort((a, b) => Number(b === vm) - Number(a === vm));
    for (const owner of ownFirst) {
      if (this.#getAskAgainAtMs(entry, owner) <= performance.now()) {
        const place = await this.#ask(entry, owner);
        if (place !== undefined) {
          return place;
        }
      }
    }
    return undefined;
  }

  receiveReply(reply: PlaceReply): void {
    if (reply.process !== this.#options.self.process) {
      return;
    }
    const question = this.#questions.get(reply.id);
    if (question === undefined) {
      return;
    }
    this.#questions.delete(reply.id);
    this.#silenceMs.delete(question.owner);
    if (!reply.isGranted) {
      this.#deferAsking(question.entry, question.owner, reply.waitMs);
    }
    question.settle(reply.isGranted);
  }

  /** Tells the owners all that this daemon has in flight at brittle upstreams. */
  tellHoldings(): void {
    const holdings = this.#listHoldings();
    const { self, send } = this.#options;
    for (const owner of new Set([...holdings.keys(), ...this.#askedLives.keys()])) {
      const ofOwner = holdings.get(owner) ?? [];
      const lives = new Set(ofOwner.map(({ lifeId }) => lifeId));
      const ended = [...(this.#askedLives.get(owner) ?? [])]
        .filter((lifeId) => !lives.has(lifeId))
        .map((lifeId): Holding => ({ lifeId, ids: [], untracked: 0 }));
      this.#askedLives.set(owner, lives);
      if (lives.size === 0) {
        this.#askedLives.delete(owner);
      }
      send(owner, { kind: 'held', from: self, holdings: [...ofOwner, ...ended] });
    }
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (holdings.size > 0 || this.#askedLives.size > 0) {
      this.#scheduleTelling();
    }
  }

  #scheduleTelling(): void {
    this.#timer ??= setTimeout(() => this.tellHoldings(), HELD_INTERVAL_MS).unref();
  }

  async #ask(entry: UpstreamEntry, owner: string): Promise<Place | undefined> {
    const rejectionsPerS = this.#options.getRejectionsPerS(entry);
    if (rejectionsPerS === undefined) {
      return undefined;
    }
    this.#lastId += 1;
    const id = this.#lastId;
    const answered = new Promise<boolean>((settle) => {
      this.#questions.set(id, { owner, entry, settle });
    });
    const { self, send } = this.#options;
    const asked = this.#askedLives.get(owner) ?? new Set();
    this.#askedLives.set(owner, asked.add(entry.lifeId));
    this.#scheduleTelling();
    const request = { id, lifeId: entry.lifeId, rejectionsPerS };
    send(owner, { kind: 'ask', from: self, request });
    const isGranted = await Promise.race([answered, wait(REPLY_TIMEOUT_MS)]);
    if (isGranted === undefined) {
      // Its places may be lent all the same; the next list of holdings returns them.
      this.#questions.delete(id);
      const silenceMs = this.#silenceMs.get(owner) ?? SILENT_OWNER_MS;
      this.#silenceMs.set(owner, Math.min(MAX_SILENT_OWNER_MS, silenceMs * 2));
      this.#deferAsking(entry, owner, silenceMs);
    }
    return isGranted === true ? this.#hold(id, owner, entry) : undefined;
  }

  #hold(id: PlaceId, owner: string, entry: UpstreamEntry): Place {
    const held: HeldPlace = { id, owner, entry, isInUse: true };
    this.#held.set(id, held);
    return {
      release: (outcome) => {
        if (held.isInUse) {
          held.isInUse = false;
          this.#release(held, outcome);
        }
      },
    };
  }

  #release(held: HeldPlace, outcome: PlaceOutcome): void {
    if (outcome === 'abandoned') {
      void this.#releaseWhenEnded(held);
    } else {
      this.#giveBack(held, outcome === 'turnedAway');
    }
  }

  async #releaseWhenEnded(held: HeldPlace): Promise<void> {
    const { entry } = held;
    const abandonedAtMs = performance.now();
    const endAtMs = abandonedAtMs + MAX_ABANDONED_MS;
    const hasExited = (): boolean => entry.exitDetector.exitedAtMs !== undefined;
    while (
      entry.lastBytesAtMs <= abandonedAtMs &&
      !hasExited() &&
      performance.now() < endAtMs - ABANDONED_LINGER_MS
    ) {
      await wait(ABANDONED_LINGER_MS / 4);
    }
    await wait(ABANDONED_LINGER_MS);
    this.#giveBack(held, false);
  }

  #giveBack({ id, owner, entry }: HeldPlace, isTurnedAway: boolean): void {
    this.#held.delete(id);
    const { self, send } = this.#options;
    const one = { id, lifeId: entry.lifeId, isTurnedAway };
    const returned = [...(this.#returned.get(owner) ?? []), one].slice(-RETURN_REPEATS);
    this.#returned.set(owner, returned);
    send(owner, { kind: 'return', from: self, returned });
  }

  #listHoldings(): ReadonlyMap<string, readonly Holding[]> {
    const holdings = new Map<string, Holding[]>();
    for (const entry of this.#listInvolved()) {
      const held = [...this.#held.values()].filter((one) => one.entry === entry);
      const owners = this.#options.listOwners(entry);
      const current = held.filter(({ owner }) => owners.includes(owner));
      const lingering = current.filter(({ isInUse }) => !isInUse).length;
      const requests = entry.ownLoad.requests + lingering;
      const untracked = Math.max(0, requests - current.length);
      owners.forEach((owner, rank) => {
        const ids = current.filter((one) => one.owner === owner).map(({ id }) => id);
        const part = divideByRank(untracked, { daemons: owners.length, rank });
        if (ids.length > 0 || part > 0) {
          const ofOwner = holdings.get(owner) ?? [];
          ofOwner.push({ lifeId: entry.lifeId, ids, untracked: part });
          holdings.set(owner, ofOwner);
        }
      });
    }
    return holdings;
  }

  #listInvolved(): readonly UpstreamEntry[] {
    const held = [...this.#held.values()].map(({ entry }) => entry);
    const busy = this.#options.listBrittle().filter(({ ownLoad }) => ownLoad.requests > 0);
    return [...new Set([...held, ...busy])];
  }

  #getAskAgainAtMs(entry: UpstreamEntry, owner: string): number {
    return this.#askAgainAtMs.get(entry)?.get(owner) ?? -Infinity;
  }

  #deferAsking(entry: UpstreamEntry, owner: string, waitMs: number): void {
    const times = this.#askAgainAtMs.get(entry) ?? new Map<string, number>();
    times.set(owner, performance.now() + waitMs);
    this.#askAgainAtMs.set(entry, times);
  }
}

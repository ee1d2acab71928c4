/** Faults that any stand-in may have: outages, slowness, lost calls and replies, cut clients. */
import { sleep, type Random } from '@snipehaven/common';
import { ConnectionLostError, UnavailableError } from './errors.js';

/** What a caller sees of a lost call: a broken connection, or nothing at all. */
export type LossKind = 'broken' | 'silent';

export interface GateFaults {
  /** All calls answer 503 and do nothing. */
  readonly isDown: boolean;
  /** The share of calls that answer 503 and do nothing. */
  readonly errorRate: number;
  /** Wait before a call takes effect. */
  readonly delayMs: number;
  /** Up to this is added to the wait, uniformly. */
  readonly delaySpreadMs: number;
  /** Wait between a call's effect and its reply. */
  readonly replyDelayMs: number;
  /** The share of calls lost before they take effect. */
  readonly requestLossRate: number;
  /** The share of replies lost after the call took effect. */
  readonly replyLossRate: number;
  /** This many of the next replies are lost after the call took effect. */
  readonly loseNextReplies: number;
  readonly lossKind: LossKind;
  /** Clients whose calls don't arrive, by address or `x-client`. */
  readonly cutClients: readonly string[];
}

export const NO_FAULTS: GateFaults = {
  isDown: false,
  errorRate: 0,
  delayMs: 0,
  delaySpreadMs: 0,
  replyDelayMs: 0,
  requestLossRate: 0,
  replyLossRate: 0,
  loseNextReplies: 0,
  lossKind: 'broken',
  cutClients: [],
};

/** What the gate did to calls so far. */
export interface GateTruth {
  readonly calls: number;
  readonly unavailable: number;
  readonly lostRequests: number;
  readonly lostReplies: number;
}

/** Passes calls to a core through the faults that are set. */
export class FaultGate {
  readonly #random: Random;

  #faults: GateFaults = NO_FAULTS;

  #hasFaults = false;

  #calls = 0;

  #unavailable = 0;

  #lostRequests = 0;

  #lostReplies = 0;

  constructor(random: Random) {
    this.#random = random;
  }

  get faults(): GateFaults {
    return this.#faults;
  }

  /** Changes the given faults and leaves the others. */
  setFaults(faults: Partial<GateFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
    this.#hasFaults = true;
  }

  clearFaults(): void {
    this.#faults = NO_FAULTS;
    this.#hasFaults = false;
  }

  getTruth(): GateTruth {
    return {
      calls: this.#calls,
      unavailable: this.#unavailable,
      lostRequests: this.#lostRequests,
      lostReplies: this.#lostReplies,
    };
  }

  /**
   * Performs a call. Throws {@link UnavailableError} when nothing was done and
   * {@link ConnectionLostError} when the caller can't know; a silent loss never settles.
   */
  async run<Result>(client: string, perform: () => Result | Promise<Result>): Promise<Result> {
    this.#calls += 1;
    if (!this.#hasFaults) {
      return perform();
    }
    await this.#passRequest(client);
    const result = await perform();
    await this.#passReply(client);
    return result;
  }

  async #passRequest(client: string): Promise<void> {
    const faults = this.#faults;
    if (faults.cutClients.includes(client) || this.#isHit(faults.requestLossRate)) {
      this.#lostRequests += 1;
      await this.#lose();
    }
    await this.#wait(faults.delayMs, faults.delaySpreadMs);
    if (this.#faults.isDown || this.#isHit(this.#faults.errorRate)) {
      this.#unavailable += 1;
      throw new UnavailableError('service is down');
    }
  }

  async #passReply(client: string): Promise<void> {
    await this.#wait(this.#faults.replyDelayMs, 0);
    if (this.#faults.cutClients.includes(client) || this.#takeReplyLoss()) {
      this.#lostReplies += 1;
      await this.#lose();
    }
  }

  #takeReplyLoss(): boolean {
    if (this.#faults.loseNextReplies > 0) {
      this.#faults = { ...this.#faults, loseNextReplies: this.#faults.loseNextReplies - 1 };
      return true;
    }
    return this.#isHit(this.#faults.replyLossRate);
  }

  #isHit(rate: number): boolean {
    return rate > 0 && this.#random.next() < rate;
  }

  async #wait(delayMs: number, spreadMs: number): Promise<void> {
    const totalMs = delayMs + (spreadMs > 0 ? this.#random.next() * spreadMs : 0);
    if (totalMs > 0) {
      await sleep(totalMs);
    }
  }

  #lose(): Promise<never> {
    if (this.#faults.lossKind === 'silent') {
      return new Promise<never>(() => {});
    }
    return Promise.reject(new ConnectionLostError('connection lost'));
  }
}

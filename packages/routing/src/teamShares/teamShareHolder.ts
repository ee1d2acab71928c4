/** The shares that a daemon holds of all teams' limits, with one request sequence for all teams. */
import {
  adoptShare,
  createShareHolder,
  getShareInForce,
  requestShare,
  type ShareHolder,
} from '@snipehaven/policy';
import type {
  GrantedShares,
  RequestShares,
  SharePlace,
  TeamDemandTuple,
} from '@snipehaven/protocol';
import { FLOW_DIGITS } from './constants.js';
import { getFixedShares } from './fixedShares.js';
import type { FindLimits, ShareAmounts, ShareKind, TeamDemand } from './types.js';

const NO_SHARES: ShareAmounts = { flow: 0, slots: 0 };
const FLOW_UNITS = 10 ** FLOW_DIGITS;

/**
 * Held shares are reported rounded up: a value too low would let other daemons use the difference
 * as well.
 */
const roundUp = (flow: number): number => Math.ceil(flow * FLOW_UNITS) / FLOW_UNITS;

export class TeamShareHolder {
  readonly #vm: string;

  readonly #findLimits: FindLimits;

  /** Timing and sequence numbers of requests and responses, common to all teams. */
  #holder: ShareHolder;

  #shares = new Map<string, ShareAmounts>();

  #place: SharePlace;

  /** The position that the last adopted response was based on. */
  #confirmedPlace: SharePlace | undefined;

  constructor(vm: string, place: SharePlace, findLimits: FindLimits, nowMs: number) {
    this.#vm = vm;
    this.#place = place;
    this.#findLimits = findLimits;
    this.#holder = createShareHolder(vm, 0, nowMs);
  }

  get hasAnswer(): boolean {
    return this.#holder.lastAnswer !== undefined;
  }

  /**
   * Whether shares are in force: from a response, or the fixed shares after the wait for a response
   * is over.
   */
  isUsable(nowMs: number): boolean {
    return this.hasAnswer || nowMs >= this.#holder.fallBackAtMs;
  }

  /** Whether the last response included the team. */
  hasTeam(team: string): boolean {
    return this.#shares.has(team);
  }

  getShares(team: string, nowMs: number): ShareAmounts {
    const fixed = this.#getFixed(team);
    return {
      flow: this.#getInForce('flow', team, fixed, nowMs),
      slots: Math.floor(this.#getInForce('slots', team, fixed, nowMs)),
    };
  }

  /** Creates the next request. Shares of teams that are not in `demands` are given up. */
  request(
    demands: ReadonlyMap<string, TeamDemand>,
    place: SharePlace,
    nowMs: number,
  ): RequestShares {
    const tuples = [...demands].map(([team, demand]) => this.#toTuple(team, demand, nowMs));
    this.#shares = new Map([...this.#shares].filter(([team]) => demands.has(team)));
    this.#place = place;
    const { holder, request } = requestShare(this.#holder, 0, nowMs);
    this.#holder = holder;
    const { seq, lastAnswer } = request;
    const vm = this.#vm;
    return { vm, seq, place, demands: tuples, ...(lastAnswer && { lastAnswer }) };
  }

  /** Adopts a response; a response to an earlier request is ignored. */
  adopt(grant: GrantedShares, nowMs: number): void {
    const adopted = adoptShare(this.#holder, { ...grant, member: this.#vm, share: 0 }, nowMs);
    if (adopted === this.#holder) {
      return;
    }
    this.#holder = adopted;
    this.#confirmedPlace = this.#place;
    this.#shares = new Map(grant.shares.map(([team, flow, slots]) => [team, { flow, slots }]));
  }

  #toTuple(team: string, { wanted, running }: TeamDemand, nowMs: number): TeamDemandTuple {
    const held = this.getShares(team, nowMs);
    return [
      team,
      roundUp(wanted.flow),
      roundUp(held.flow),
      wanted.slots,
      Math.max(held.slots, running),
    ];
  }

  #getInForce(kind: ShareKind, team: string, fixed: ShareAmounts, nowMs: number): number {
    const share = (this.#shares.get(team) ?? NO_SHARES)[kind];
    return getShareInForce({ ...this.#holder, share, fixedShare: fixed[kind] }, nowMs);
  }

  /**
   * A fixed share that grows because a daemon has left exceeds what the allocator reserved until
   * the allocator knows of the change. A larger fixed share therefore takes effect only with the
   * first response that accounts for it.
   */
  #getFixed(team: string): ShareAmounts {
    const limits = this.#findLimits(team);
    if (limits === undefined) {
      return NO_SHARES;
    }
    const latest = getFixedShares(team, limits, this.#place);
    const confirmed = getFixedShares(team, limits, this.#confirmedPlace ?? this.#place);
    return {
      flow: Math.min(latest.flow, confirmed.flow),
      slots: Math.min(latest.slots, confirmed.slots),
    };
  }
}

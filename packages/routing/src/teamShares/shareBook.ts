/** The allocator's side, for one term: a data centre's part of all teams' limits. */
import {
  answerShareRequest,
  createShareAllocator,
  extendTerm,
  hearShareMember,
  SHARE_FORGET_MS,
  SHARE_TTL_MS,
  type ShareAllocator,
  type ShareRequest,
} from '@snipehaven/policy';
import type {
  GrantedShares,
  RequestShares,
  SharePlace,
  TeamDemandTuple,
} from '@snipehaven/protocol';
import { FLOW_DIGITS } from './constants.js';
import { getDataCentreTotal, getFixedShares, SHARE_KINDS, SHARE_QUANTA } from './fixedShares.js';
import type { FindLimits, ShareAmounts, ShareKind, TeamLimits } from './types.js';

type TeamAllocators = Record<ShareKind, ShareAllocator>;

/** A daemon as it last asked. */
interface Asker {
  readonly message: RequestShares;
  readonly heardAtMs: number;
}

interface TeamAsk {
  readonly wanted: ShareAmounts;
  readonly held: ShareAmounts;
}

const FLOW_UNITS = 10 ** FLOW_DIGITS;

/** Few digits keep the message small; never more than was granted. */
const roundDown = (flow: number): number => Math.floor(flow * FLOW_UNITS) / FLOW_UNITS;

const NOTHING: TeamAsk = { wanted: { flow: 0, slots: 0 }, held: { flow: 0, slots: 0 } };

const toAsk = ([, flow, heldFlow, slots, heldSlots]: TeamDemandTuple): TeamAsk => ({
  wanted: { flow, slots },
  held: { flow: heldFlow, slots: heldSlots },
});

export class ShareBook {
  readonly term: number;

  readonly #findLimits: FindLimits;

  #termEndsAtMs: number;

  readonly #askers = new Map<string, Asker>();

  readonly #teams = new Map<string, TeamAllocators>();

  constructor(term: number, termEndsAtMs: number, findLimits: FindLimits) {
    this.term = term;
    this.#termEndsAtMs = termEndsAtMs;
    this.#findLimits = findLimits;
  }

  /** Moves the end of the term; grants given before stay as they are. */
  extend(termEndsAtMs: number): void {
    this.#termEndsAtMs = termEndsAtMs;
  }

  /** Answers one daemon; `place` is the allocator's own. Undefined: the term is over, the request old. */
  answer(message: RequestShares, place: SharePlace, nowMs: number): GrantedShares | undefined {
    const ttlMs = Math.min(SHARE_TTL_MS, this.#termEndsAtMs - nowMs);
    const known = this.#askers.get(message.vm);
    if (ttlMs <= 0 || (known && message.seq <= known.message.seq)) {
      return undefined;
    }
    const asks = new Map(message.demands.map((tuple) => [tuple[0], toAsk(tuple)]));
    asks.forEach((_ask, team) => this.#ensureTeam(team, place));
    this.#askers.set(message.vm, { message, heardAtMs: nowMs });
    const shares = [...this.#teams.keys()].flatMap((team) => {
      const granted = this.#answerTeam(team, message, asks.get(team), place, nowMs);
      return granted ? [[team, roundDown(granted.flow), granted.slots] as const] : [];
    });
    this.#forget(nowMs);
    return { seq: message.seq, term: this.term, ttlMs, answeredAtMs: nowMs, shares };
  }

  /**
   * A team's allocators begin with all who asked in this term: none of them holds any of the team's share
   * that it did not name, and each promised not to fall back for a while.
   */
  #ensureTeam(team: string, place: SharePlace): void {
    const limits = this.#findLimits(team);
    if (limits === undefined || this.#teams.has(team)) {
      return;
    }
    this.#teams.set(team, {
      flow: this.#createAllocator('flow', team, limits, place),
      slots: this.#createAllocator('slots', team, limits, place),
    });
  }

  #createAllocator(
    kind: ShareKind,
    team: string,
    limits: TeamLimits,
    place: SharePlace,
  ): ShareAllocator {
    const total = getDataCentreTotal(team, limits, place)[kind];
    const quantum = SHARE_QUANTA[kind];
    const created: ShareAllocator = {
      ...createShareAllocator(total, this.term, this.#termEndsAtMs),
      ...(quantum === undefined ? {} : { quantum }),
    };
    return [...this.#askers.values()].reduce(
      (allocator, { message, heardAtMs }) =>
        hearShareMember(
          allocator,
          ShareBook.#toRequest(kind, team, limits, message, NOTHING),
          heardAtMs,
        ),
      created,
    );
  }

  #answerTeam(
    team: string,
    message: RequestShares,
    ask: TeamAsk | undefined,
    place: SharePlace,
    nowMs: number,
  ): ShareAmounts | undefined {
    const limits = this.#findLimits(team);
    const allocators = this.#teams.get(team);
    if (limits === undefined || allocators === undefined) {
      this.#teams.delete(team);
      return undefined;
    }
    const total = getDataCentreTotal(team, limits, place);
    const granted = { flow: 0, slots: 0 };
    SHARE_KINDS.forEach((kind) => {
      const request = ShareBook.#toRequest(kind, team, limits, message, ask ?? NOTHING);
      const current = extendTerm({ ...allocators[kind], total: total[kind] }, this.#termEndsAtMs);
      if (ask === undefined) {
        allocators[kind] = hearShareMember(current, request, nowMs);
        return;
      }
      const answer = answerShareRequest(current, request, nowMs);
      allocators[kind] = answer.allocator;
      granted[kind] = answer.grant?.share ?? 0;
    });
    return ask && granted;
  }

  static #toRequest(
    kind: ShareKind,
    team: string,
    limits: TeamLimits,
    message: RequestShares,
    ask: TeamAsk,
  ): ShareRequest {
    const { vm, seq, place, lastAnswer } = message;
    return {
      member: vm,
      seq,
      demand: ask.wanted[kind],
      heldShare: ask.held[kind],
      fixedShare: getFixedShares(team, limits, place)[kind],
      ...(lastAnswer && { lastAnswer }),
    };
  }

  /** Drops the long silent, and teams of which nobody has or wants a share. */
  #forget(nowMs: number): void {
    this.#askers.forEach(({ heardAtMs }, vm) => {
      if (nowMs - heardAtMs >= SHARE_FORGET_MS) {
        this.#askers.delete(vm);
      }
    });
    this.#teams.forEach((allocators, team) => {
      if (SHARE_KINDS.every((kind) => ShareBook.#isIdle(allocators[kind]))) {
        this.#teams.delete(team);
      }
    });
  }

  static #isIdle({ members }: ShareAllocator): boolean {
    return Object.values(members).every(({ demand, outstanding }) => demand + outstanding === 0);
  }
}

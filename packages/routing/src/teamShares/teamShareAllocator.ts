/** Allocates a data centre's share of all teams' limits to its daemons, for one lease term. */
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

/** The latest request of a daemon. */
interface LatestRequest {
  readonly message: RequestShares;
  readonly receivedAtMs: number;
}

interface TeamRequest {
  readonly wanted: ShareAmounts;
  readonly held: ShareAmounts;
}

const FLOW_UNITS = 10 ** FLOW_DIGITS;

/** Rounding keeps messages small; rounding down never grants more than was allocated. */
const roundDown = (flow: number): number => Math.floor(flow * FLOW_UNITS) / FLOW_UNITS;

const EMPTY_REQUEST: TeamRequest = { wanted: { flow: 0, slots: 0 }, held: { flow: 0, slots: 0 } };

const toTeamRequest = ([, flow, heldFlow, slots, heldSlots]: TeamDemandTuple): TeamRequest => ({
  wanted: { flow, slots },
  held: { flow: heldFlow, slots: heldSlots },
});

export class TeamShareAllocator {
  readonly term: number;

  readonly #findLimits: FindLimits;

  #termEndsAtMs: number;

  readonly #latestRequests = new Map<string, LatestRequest>();

  readonly #teams = new Map<string, TeamAllocators>();

  constructor(term: number, termEndsAtMs: number, findLimits: FindLimits) {
    this.term = term;
    this.#termEndsAtMs = termEndsAtMs;
    this.#findLimits = findLimits;
  }

  /** Extends the term; grants already given are not changed. */
  extend(termEndsAtMs: number): void {
    this.#termEndsAtMs = termEndsAtMs;
  }

  /**
   * Answers a request of one daemon; `place` is the allocator's own. Undefined if the term is over
   * or the request is not newer than the daemon's last one.
   */
  allocate(message: RequestShares, place: SharePlace, nowMs: number): GrantedShares | undefined {
    const ttlMs = Math.min(SHARE_TTL_MS, this.#termEndsAtMs - nowMs);
    const known = this.#latestRequests.get(message.vm);
    if (ttlMs <= 0 || (known && message.seq <= known.message.seq)) {
      return undefined;
    }
    const teamRequests = new Map(message.demands.map((tuple) => [tuple[0], toTeamRequest(tuple)]));
    teamRequests.forEach((_request, team) => this.#ensureTeam(team, place));
    this.#latestRequests.set(message.vm, { message, receivedAtMs: nowMs });
    const shares = [...this.#teams.keys()].flatMap((team) => {
      const granted = this.#allocateTeam(team, message, teamRequests.get(team), place, nowMs);
      return granted ? [[team, roundDown(granted.flow), granted.slots] as const] : [];
    });
    this.#removeExpired(nowMs);
    return { seq: message.seq, term: this.term, ttlMs, answeredAtMs: nowMs, shares };
  }

  /**
   * A team's allocators start with all daemons that sent a request in this term. A daemon that did
   * not name the team holds no share of it, and each has promised not to fall back to its fixed
   * share for a while.
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
    return [...this.#latestRequests.values()].reduce(
      (allocator, { message, receivedAtMs }) =>
        hearShareMember(
          allocator,
          TeamShareAllocator.#toRequest(kind, team, limits, message, EMPTY_REQUEST),
          receivedAtMs,
        ),
      created,
    );
  }

  #allocateTeam(
    team: string,
    message: RequestShares,
    teamRequest: TeamRequest | undefined,
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
      const request = TeamShareAllocator.#toRequest(
        kind,
        team,
        limits,
        message,
        teamRequest ?? EMPTY_REQUEST,
      );
      const current = extendTerm({ ...allocators[kind], total: total[kind] }, this.#termEndsAtMs);
      if (teamRequest === undefined) {
        allocators[kind] = hearShareMember(current, request, nowMs);
        return;
      }
      const answer = answerShareRequest(current, request, nowMs);
      allocators[kind] = answer.allocator;
      granted[kind] = answer.grant?.share ?? 0;
    });
    return teamRequest && granted;
  }

  static #toRequest(
    kind: ShareKind,
    team: string,
    limits: TeamLimits,
    message: RequestShares,
    teamRequest: TeamRequest,
  ): ShareRequest {
    const { vm, seq, place, lastAnswer } = message;
    return {
      member: vm,
      seq,
      demand: teamRequest.wanted[kind],
      heldShare: teamRequest.held[kind],
      fixedShare: getFixedShares(team, limits, place)[kind],
      ...(lastAnswer && { lastAnswer }),
    };
  }

  /**
   * Removes daemons that have been silent for too long, and teams that have neither demand nor
   * outstanding shares.
   */
  #removeExpired(nowMs: number): void {
    this.#latestRequests.forEach(({ receivedAtMs }, vm) => {
      if (nowMs - receivedAtMs >= SHARE_FORGET_MS) {
        this.#latestRequests.delete(vm);
      }
    });
    this.#teams.forEach((allocators, team) => {
      if (SHARE_KINDS.every((kind) => TeamShareAllocator.#isIdle(allocators[kind]))) {
        this.#teams.delete(team);
      }
    });
  }

  static #isIdle({ members }: ShareAllocator): boolean {
    return Object.values(members).every(({ demand, outstanding }) => demand + outstanding === 0);
  }
}

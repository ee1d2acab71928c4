/** Each team's limits, as this daemon's share of them. */
import {
  hasConcurrencyLeft,
  settleTokens,
  takeTokens,
  type TokenBucketLimit,
  type TokenBucketState,
} from '@snipehaven/policy';
import type { Resource } from '@snipehaven/resources';
import type { ShareAmounts, TeamShareSource } from './teamShares/index.js';

const SECONDS_PER_DAY = 86_400;
const SPEND_BURST_SECONDS = 3_600;
/** What a team may spend at once where it was not seen before, of the whole burst. */
const SPEND_START_SECONDS = 60;

/** Whether the team's limits let a request in. */
export type LimitOutcome =
  | { readonly kind: 'allowed'; readonly reservation: LimitReservation }
  | {
      readonly kind: 'limited';
      readonly limit: 'rate' | 'concurrency' | 'spend';
      readonly retryAfterMs: number;
    };

/** What a request has taken of its team's limits. */
export interface LimitReservation {
  /** Gives the place back and corrects the reserved spend. */
  release(actualCostMicroUsd: number): void;
}

interface TeamState {
  rate: TokenBucketState;
  spend: TokenBucketState;
  running: number;
  /** The part of rate and spend that was last in force. */
  flow: number;
  /** Whether the buckets were given what they start with. */
  isPrimed: boolean;
}

const MIN_RETRY_AFTER_MS = 100;
const CONCURRENCY_RETRY_AFTER_MS = 500;

const clampWait = (waitMs: number): number =>
  Math.min(SECONDS_PER_DAY * 1_000, Math.max(MIN_RETRY_AFTER_MS, waitMs));

const getRateLimit = (team: Resource<'Team'>, flow: number): TokenBucketLimit => {
  const { requestsPerSecond, burst } = team.spec.limits;
  return {
    ratePerSecond: requestsPerSecond * flow,
    burst: flow > 0 ? Math.max(1, burst * flow) : 0,
  };
};

const getSpendLimit = (team: Resource<'Team'>, flow: number): TokenBucketLimit => {
  const perSecond = (team.spec.limits.spendMicroUsdPerDay * flow) / SECONDS_PER_DAY;
  return { ratePerSecond: perSecond, burst: perSecond * SPEND_BURST_SECONDS };
};

export class TeamLimiter {
  readonly #teams = new Map<string, TeamState>();

  readonly #shares: TeamShareSource;

  constructor(shares: TeamShareSource) {
    this.#shares = shares;
  }

  /** Takes a request's part of the limits, as far as this daemon's share of them goes. */
  reserve(team: Resource<'Team'>, expectedCostMicroUsd: number): LimitOutcome {
    const { name } = team.metadata;
    const state = this.#getState(team);
    this.#shares.noteArrival(name, expectedCostMicroUsd, state.running);
    const shares = this.#shares.getShares(name);
    if (!hasConcurrencyLeft(state.running, shares.slots)) {
      this.#shares.noteSlotRefusal(name);
      const retryAfterMs = CONCURRENCY_RETRY_AFTER_MS;
      return { kind: 'limited', limit: 'concurrency', retryAfterMs };
    }
    return this.#take(team, state, shares, expectedCostMicroUsd);
  }

  /** Whether it is worth trying again: the share of a team that was idle here has come. */
  waitForShare(team: Resource<'Team'>): Promise<boolean> {
    return this.#shares.waitForShare(team.metadata.name);
  }

  #take(
    team: Resource<'Team'>,
    current: TeamState,
    { flow }: ShareAmounts,
    costMicroUsd: number,
  ): LimitOutcome {
    const state = current;
    const nowMs = Date.now();
    TeamLimiter.#changeFlow(team, state, flow, nowMs);
    const rate = takeTokens(state.rate, getRateLimit(team, flow), nowMs);
    if (!rate.isAllowed) {
      state.rate = rate.state;
      return { kind: 'limited', limit: 'rate', retryAfterMs: clampWait(rate.waitMs) };
    }
    const spend = takeTokens(state.spend, getSpendLimit(team, flow), nowMs, costMicroUsd);
    state.spend = spend.state;
    if (!spend.isAllowed) {
      return { kind: 'limited', limit: 'spend', retryAfterMs: clampWait(spend.waitMs) };
    }
    state.rate = rate.state;
    const reservation = this.#createReservation(team.metadata.name, state, costMicroUsd);
    return { kind: 'allowed', reservation };
  }

  /**
   * What goes wrong: a share that has just grown, applied to the time since the last request, gives tokens
   * for a time in which other daemons had it; one notices a team above its rate whenever its traffic moves.
   * The time up to a change counts at the smaller share.
   */
  static #changeFlow(
    team: Resource<'Team'>,
    current: TeamState,
    flow: number,
    nowMs: number,
  ): void {
    const state = current;
    if (flow > 0 && !state.isPrimed) {
      state.isPrimed = true;
      state.flow = flow;
      const spend = getSpendLimit(team, flow);
      state.rate = { tokens: 1, updatedAtMs: nowMs };
      state.spend = { tokens: spend.ratePerSecond * SPEND_START_SECONDS, updatedAtMs: nowMs };
    }
    if (flow !== state.flow) {
      const smaller = Math.min(flow, state.flow);
      state.rate = takeTokens(state.rate, getRateLimit(team, smaller), nowMs, 0).state;
      state.spend = takeTokens(state.spend, getSpendLimit(team, smaller), nowMs, 0).state;
      state.flow = flow;
    }
  }

  #createReservation(name: string, state: TeamState, reserved: number): LimitReservation {
    const taken = state;
    taken.running += 1;
    let isReleased = false;
    return {
      release: (actualCostMicroUsd) => {
        if (isReleased) {
          return;
        }
        isReleased = true;
        taken.running -= 1;
        taken.spend = settleTokens(taken.spend, reserved, actualCostMicroUsd);
        this.#shares.noteEnd(name, taken.running);
      },
    };
  }

  #getState(team: Resource<'Team'>): TeamState {
    const present = this.#teams.get(team.metadata.uid);
    if (present) {
      return present;
    }
    const empty = { tokens: 0, updatedAtMs: Date.now() };
    const state = { rate: empty, spend: empty, running: 0, flow: 0, isPrimed: false };
    this.#teams.set(team.metadata.uid, state);
    return state;
  }
}

/** Enforces this daemon's share of each team's limits. */
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
/** The part of the burst, in seconds of spend, that a team not seen before may use at once. */
const INITIAL_SPEND_SECONDS = 60;

/** Whether the team's limits allow a request. */
export type LimitOutcome =
  | { readonly kind: 'allowed'; readonly reservation: LimitReservation }
  | {
      readonly kind: 'limited';
      readonly limit: 'rate' | 'concurrency' | 'spend';
      readonly retryAfterMs: number;
    };

/** What a request has reserved of its team's limits. */
export interface LimitReservation {
  /** Frees the concurrency slot and replaces the reserved spend by the actual cost. */
  release(actualCostMicroUsd: number): void;
}

interface TeamState {
  rate: TokenBucketState;
  spend: TokenBucketState;
  running: number;
  /** The share of the rate and spend limits that was last in force. */
  flow: number;
  /** Whether the token buckets have received their initial tokens. */
  isInitialized: boolean;
}

const MIN_RETRY_AFTER_MS = 100;
const CONCURRENCY_RETRY_AFTER_MS = 500;

const clampRetryAfterMs = (waitMs: number): number =>
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

  /** Reserves a request's part of the limits from this daemon's share. */
  reserve(team: Resource<'Team'>, expectedCostMicroUsd: number): LimitOutcome {
    const { name } = team.metadata;
    const state = this.#getState(team);
    this.#shares.recordArrival(name, expectedCostMicroUsd, state.running);
    const shares = this.#shares.getShares(name);
    if (!hasConcurrencyLeft(state.running, shares.slots)) {
      this.#shares.recordSlotRefusal(name);
      const retryAfterMs = CONCURRENCY_RETRY_AFTER_MS;
      return { kind: 'limited', limit: 'concurrency', retryAfterMs };
    }
    return this.#takeFromBuckets(team, state, shares, expectedCostMicroUsd);
  }

  /** Whether to try again because a share arrived for a team of which this daemon held none. */
  waitForShare(team: Resource<'Team'>): Promise<boolean> {
    return this.#shares.waitForShare(team.metadata.name);
  }

  #takeFromBuckets(
    team: Resource<'Team'>,
    current: TeamState,
    { flow }: ShareAmounts,
    costMicroUsd: number,
  ): LimitOutcome {
    const state = current;
    const nowMs = Date.now();
    TeamLimiter.#applyFlowChange(team, state, flow, nowMs);
    const rate = takeTokens(state.rate, getRateLimit(team, flow), nowMs);
    if (!rate.isAllowed) {
      state.rate = rate.state;
      return { kind: 'limited', limit: 'rate', retryAfterMs: clampRetryAfterMs(rate.waitMs) };
    }
    const spend = takeTokens(state.spend, getSpendLimit(team, flow), nowMs, costMicroUsd);
    state.spend = spend.state;
    if (!spend.isAllowed) {
      return { kind: 'limited', limit: 'spend', retryAfterMs: clampRetryAfterMs(spend.waitMs) };
    }
    state.rate = rate.state;
    const reservation = this.#createReservation(team.metadata.name, state, costMicroUsd);
    return { kind: 'allowed', reservation };
  }

  /**
   * If a share that has just grown were applied to the time since the last request, it would yield
   * tokens for a period in which other daemons held that share, and a team would exceed its rate
   * whenever its traffic moves. The time up to the change is therefore credited at the smaller
   * share.
   */
  static #applyFlowChange(
    team: Resource<'Team'>,
    current: TeamState,
    flow: number,
    nowMs: number,
  ): void {
    const state = current;
    if (flow > 0 && !state.isInitialized) {
      state.isInitialized = true;
      state.flow = flow;
      const spend = getSpendLimit(team, flow);
      state.rate = { tokens: 1, updatedAtMs: nowMs };
      state.spend = { tokens: spend.ratePerSecond * INITIAL_SPEND_SECONDS, updatedAtMs: nowMs };
    }
    if (flow !== state.flow) {
      const smaller = Math.min(flow, state.flow);
      state.rate = takeTokens(state.rate, getRateLimit(team, smaller), nowMs, 0).state;
      state.spend = takeTokens(state.spend, getSpendLimit(team, smaller), nowMs, 0).state;
      state.flow = flow;
    }
  }

  #createReservation(name: string, state: TeamState, reserved: number): LimitReservation {
    const heldState = state;
    heldState.running += 1;
    let isReleased = false;
    return {
      release: (actualCostMicroUsd) => {
        if (isReleased) {
          return;
        }
        isReleased = true;
        heldState.running -= 1;
        heldState.spend = settleTokens(heldState.spend, reserved, actualCostMicroUsd);
        this.#shares.recordEnd(name, heldState.running);
      },
    };
  }

  #getState(team: Resource<'Team'>): TeamState {
    const present = this.#teams.get(team.metadata.uid);
    if (present) {
      return present;
    }
    const empty = { tokens: 0, updatedAtMs: Date.now() };
    const state = { rate: empty, spend: empty, running: 0, flow: 0, isInitialized: false };
    this.#teams.set(team.metadata.uid, state);
    return state;
  }
}

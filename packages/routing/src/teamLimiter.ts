/** Each team's limits, as this daemon's share of them. */
import {
  createTokenBucket,
  settleTokens,
  takeTokens,
  type TokenBucketLimit,
  type TokenBucketState,
} from '@snipehaven/policy';
import type { Resource } from '@snipehaven/resources';

const SECONDS_PER_DAY = 86_400;
const SPEND_BURST_SECONDS = 3_600;

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
}

const MIN_RETRY_AFTER_MS = 100;
const CONCURRENCY_RETRY_AFTER_MS = 500;

const clampWait = (waitMs: number): number =>
  Math.min(SECONDS_PER_DAY * 1_000, Math.max(MIN_RETRY_AFTER_MS, waitMs));

export class TeamLimiter {
  readonly #teams = new Map<string, TeamState>();

  readonly #getShare: () => number;

  /** `getShare` is this daemon's part of each limit, 0 to 1; the parts never sum over 1. */
  constructor(getShare: () => number) {
    this.#getShare = getShare;
  }

  reserve(team: Resource<'Team'>, expectedCostMicroUsd: number): LimitOutcome {
    const nowMs = Date.now();
    const state = this.#getState(team, nowMs);
    const { limits } = team.spec;
    const concurrency = Math.max(1, Math.floor(limits.concurrency * this.#getShare()));
    if (state.running >= concurrency) {
      const retryAfterMs = CONCURRENCY_RETRY_AFTER_MS;
      return { kind: 'limited', limit: 'concurrency', retryAfterMs };
    }
    const rate = takeTokens(state.rate, this.#getRateLimit(team), nowMs);
    state.rate = rate.state;
    if (!rate.isAllowed) {
      return { kind: 'limited', limit: 'rate', retryAfterMs: clampWait(rate.waitMs) };
    }
    const spend = takeTokens(state.spend, this.#getSpendLimit(team), nowMs, expectedCostMicroUsd);
    state.spend = spend.state;
    if (!spend.isAllowed) {
      return { kind: 'limited', limit: 'spend', retryAfterMs: clampWait(spend.waitMs) };
    }
    return {
      kind: 'allowed',
      reservation: TeamLimiter.#createReservation(state, expectedCostMicroUsd),
    };
  }

  static #createReservation(state: TeamState, reserved: number): LimitReservation {
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
      },
    };
  }

  #getState(team: Resource<'Team'>, nowMs: number): TeamState {
    const present = this.#teams.get(team.metadata.uid);
    if (present) {
      return present;
    }
    const state = {
      rate: createTokenBucket(this.#getRateLimit(team), nowMs),
      spend: createTokenBucket(this.#getSpendLimit(team), nowMs),
      running: 0,
    };
    this.#teams.set(team.metadata.uid, state);
    return state;
  }

  #getRateLimit(team: Resource<'Team'>): TokenBucketLimit {
    const { requestsPerSecond, burst } = team.spec.limits;
    const share = this.#getShare();
    return { ratePerSecond: requestsPerSecond * share, burst: Math.max(1, burst * share) };
  }

  #getSpendLimit(team: Resource<'Team'>): TokenBucketLimit {
    const perSecond = (team.spec.limits.spendMicroUsdPerDay * this.#getShare()) / SECONDS_PER_DAY;
    return { ratePerSecond: perSecond, burst: perSecond * SPEND_BURST_SECONDS };
  }
}

/** Divides the teams' limits among the daemons of a data centre by demand. */
import { getErrorMessage, type Logger, type Random, sleep } from '@snipehaven/common';
import type { Lease, LeaseKeeper, MembershipView } from '@snipehaven/membership';
import { SHARE_REQUEST_INTERVAL_MS } from '@snipehaven/policy';
import type {
  GrantedShares,
  LimitHandlers,
  PeerTransport,
  RequestShares,
} from '@snipehaven/protocol';
import type { ConfigurationView } from '@snipehaven/resources';
import {
  FIRST_REQUEST_INTERVAL_MS,
  FULL_RATE_DAEMONS,
  LEASE_DURATION_MS,
  LEASE_RENEW_MS,
  MAX_REQUEST_INTERVAL_MS,
  REQUEST_JITTER,
  SHARE_WAIT_TIMEOUT_MS,
  TEAM_SHARES_DUTY,
} from './constants.js';
import { DemandMeter } from './demandMeter.js';
import { TeamShareAllocator } from './teamShareAllocator.js';
import { TeamShareHolder } from './teamShareHolder.js';
import { SharePlaceResolver } from './sharePlaceResolver.js';
import { createSuspendAwareClock } from './suspendAwareClock.js';
import type { FindLimits, ShareAmounts, TeamDemand, TeamShareSource } from './types.js';

export interface TeamSharesOptions {
  readonly membership: Pick<
    MembershipView,
    'self' | 'listLocal' | 'listMembers' | 'getDutyOwner' | 'ownsDuty'
  >;
  readonly leases: LeaseKeeper;
  readonly transport: PeerTransport;
  readonly getView: () => ConfigurationView;
  readonly logger: Logger;
  readonly random: Random;
}

export class TeamShares implements TeamShareSource {
  readonly handlers: LimitHandlers = {
    requestShares: (message) => Promise.resolve({ grant: this.#handleRequest(message) }),
  };

  readonly #options: TeamSharesOptions;

  readonly #getNowMs = createSuspendAwareClock();

  readonly #placeResolver: SharePlaceResolver;

  readonly #holder: TeamShareHolder;

  readonly #meters = new Map<string, DemandMeter>();

  readonly #stopped = new AbortController();

  #lastDemandAtMs: number;

  #pendingRequest: Promise<void> | undefined;

  #lease: Lease | undefined;

  #leaseAttemptedAtMs = -Infinity;

  #allocator: TeamShareAllocator | undefined;

  constructor(options: TeamSharesOptions) {
    this.#options = options;
    this.#placeResolver = new SharePlaceResolver(options);
    this.#lastDemandAtMs = this.#getNowMs();
    this.#holder = new TeamShareHolder(
      options.membership.self.vm,
      this.#placeResolver.resolve(),
      this.#findLimits,
      this.#lastDemandAtMs,
    );
  }

  start(): void {
    void this.#runLoop();
  }

  /** Releases the lease, so that another daemon can take over immediately. */
  async stop(): Promise<void> {
    this.#stopped.abort();
    await this.#releaseLease();
  }

  kill(): void {
    this.#stopped.abort();
  }

  /**
   * A new daemon holds no share until the allocator responds, or until it has waited as long as its
   * previous incarnation may have promised not to use its fixed share. Before that it would refuse
   * every request, so it is not ready.
   */
  get isUsable(): boolean {
    return this.#holder.isUsable(this.#getNowMs());
  }

  getShares(team: string): ShareAmounts {
    return this.#holder.getShares(team, this.#getNowMs());
  }

  recordArrival(team: string, costMicroUsd: number, running: number): void {
    this.#getMeter(team).recordArrival(costMicroUsd, running);
  }

  recordSlotRefusal(team: string): void {
    this.#getMeter(team).recordSlotRefusal();
  }

  recordEnd(team: string, running: number): void {
    this.#getMeter(team).recordEnd(running);
  }

  /**
   * A daemon holds no share of a team without demand there, so the first request after a pause
   * would be refused although the limit is unused. It waits for one response instead. Teams
   * included in the last response already got what was available.
   */
  async waitForShare(team: string): Promise<boolean> {
    if (this.#holder.hasTeam(team)) {
      return false;
    }
    const timer = new AbortController();
    await Promise.race([this.#requestShareOf(team), sleep(SHARE_WAIT_TIMEOUT_MS, timer.signal)]);
    timer.abort();
    return this.#holder.hasTeam(team);
  }

  /**
   * A request in flight may have been created before the team had demand; another one then follows.
   */
  async #requestShareOf(team: string): Promise<void> {
    await this.#pendingRequest;
    if (!this.#holder.hasTeam(team)) {
      await this.#requestOnce();
    }
  }

  #requestOnce(): Promise<void> {
    this.#pendingRequest ??= this.#sendRequest().finally(() => {
      this.#pendingRequest = undefined;
    });
    return this.#pendingRequest;
  }

  readonly #findLimits: FindLimits = (team) =>
    this.#options.getView().get('Team', team)?.spec.limits;

  #getMeter(team: string): DemandMeter {
    const present = this.#meters.get(team);
    if (present) {
      return present;
    }
    const created = new DemandMeter();
    this.#meters.set(team, created);
    return created;
  }

  async #runLoop(): Promise<void> {
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      await this.#renewLease().catch((error: unknown) => this.#logError(error));
      await this.#requestOnce();
      await sleep(this.#getIntervalMs(), signal);
    }
  }

  #getIntervalMs(): number {
    if (!this.#holder.hasAnswer) {
      return FIRST_REQUEST_INTERVAL_MS;
    }
    const slowdown = this.#options.membership.listLocal().length / FULL_RATE_DAEMONS;
    const intervalMs = SHARE_REQUEST_INTERVAL_MS * Math.max(1, slowdown);
    const jitter = 1 + REQUEST_JITTER * (this.#options.random.next() - 0.5);
    return Math.min(MAX_REQUEST_INTERVAL_MS, intervalMs) * jitter;
  }

  #logError(error: unknown): void {
    this.#options.logger.debug({ error: getErrorMessage(error) }, 'failed to request team shares');
  }

  async #sendRequest(): Promise<void> {
    try {
      const { membership, transport } = this.#options;
      const nowMs = this.#getNowMs();
      const demands = this.#takeDemands(nowMs);
      const message = this.#holder.request(demands, this.#placeResolver.resolve(), nowMs);
      const owner = membership.getDutyOwner(TEAM_SHARES_DUTY);
      const isSelf = owner.incarnation === membership.self.incarnation;
      const { limits } = isSelf ? { limits: this.handlers } : transport.getPeer(owner.address);
      const { grant } = await limits.requestShares(message);
      if (grant) {
        this.#holder.adopt(grant, this.#getNowMs());
      }
    } catch (error) {
      this.#logError(error);
    }
  }

  /** Teams with demand or running requests; the others are left out of the request and dropped. */
  #takeDemands(nowMs: number): ReadonlyMap<string, TeamDemand> {
    const elapsedMs = nowMs - this.#lastDemandAtMs;
    this.#lastDemandAtMs = nowMs;
    const demands = new Map<string, TeamDemand>();
    this.#meters.forEach((meter, team) => {
      const limits = this.#findLimits(team);
      const demand = limits && meter.takeDemand(limits, elapsedMs);
      if (demand && demand.wanted.flow + demand.wanted.slots + demand.running > 0) {
        demands.set(team, demand);
      } else {
        this.#meters.delete(team);
      }
    });
    return demands;
  }

  async #renewLease(): Promise<void> {
    const { membership, leases } = this.#options;
    if (!membership.ownsDuty(TEAM_SHARES_DUTY)) {
      await this.#releaseLease();
      return;
    }
    const nowMs = this.#getNowMs();
    if (this.#lease?.isHeld() && nowMs - this.#leaseAttemptedAtMs < LEASE_RENEW_MS) {
      return;
    }
    this.#leaseAttemptedAtMs = nowMs;
    const name = `${TEAM_SHARES_DUTY}/${membership.self.dataCentre}`;
    this.#lease = await leases.acquire(name, LEASE_DURATION_MS);
    this.#updateAllocator();
  }

  async #releaseLease(): Promise<void> {
    const lease = this.#lease;
    this.#lease = undefined;
    this.#allocator = undefined;
    await lease?.release().catch((error: unknown) => this.#logError(error));
  }

  #updateAllocator(): void {
    const lease = this.#lease;
    if (lease === undefined || !lease.isHeld()) {
      this.#allocator = undefined;
      return;
    }
    const termEndsAtMs = this.#getNowMs() + lease.getRemainingMs();
    if (this.#allocator?.term !== lease.fence) {
      this.#allocator = new TeamShareAllocator(lease.fence, termEndsAtMs, this.#findLimits);
    }
    this.#allocator.extend(termEndsAtMs);
  }

  #handleRequest(message: RequestShares): GrantedShares | undefined {
    if (!this.#lease?.isHeld()) {
      return undefined;
    }
    return this.#allocator?.allocate(message, this.#placeResolver.resolve(), this.#getNowMs());
  }
}

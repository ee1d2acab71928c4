/** Types of team limit sharing. */
import type { Resource } from '@snipehaven/resources';

export type TeamLimits = Resource<'Team'>['spec']['limits'];

/**
 * `flow` is a fraction, 0 to 1, of the rate and spend limits; `slots` are whole slots of the
 * concurrency limit.
 */
export type ShareKind = 'flow' | 'slots';

/** An amount of each kind. */
export type ShareAmounts = Readonly<Record<ShareKind, number>>;

/**
 * What a daemon requests of a team's limits, and the running requests whose slots it cannot
 * release.
 */
export interface TeamDemand {
  readonly wanted: ShareAmounts;
  readonly running: number;
}

/** Returns the team's limits in the current configuration; undefined if there is no such team. */
export type FindLimits = (team: string) => TeamLimits | undefined;

/** Provides this daemon's share of each team's limits and records its demand. */
export interface TeamShareSource {
  getShares(team: string): ShareAmounts;
  /** Records an incoming request and how many of the team's requests are running. */
  recordArrival(team: string, costMicroUsd: number, running: number): void;
  /** Records that a request was refused because no slot was free. */
  recordSlotRefusal(team: string): void;
  recordEnd(team: string, running: number): void;
  /** Waits for a share of a team that had no demand here; false if none arrives. */
  waitForShare(team: string): Promise<boolean>;
}

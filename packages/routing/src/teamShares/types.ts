/** What the division of the teams' limits works with. */
import type { Resource } from '@snipehaven/resources';

export type TeamLimits = Resource<'Team'>['spec']['limits'];

/** `flow`: the part of rate and spend, of 1; `slots`: whole slots of the concurrency limit. */
export type ShareKind = 'flow' | 'slots';

/** An amount of each kind. */
export type ShareAmounts = Readonly<Record<ShareKind, number>>;

/** What a daemon wants of a team's limits, and what it can't give up at once. */
export interface TeamDemand {
  readonly wanted: ShareAmounts;
  readonly running: number;
}

/** The limits of a team in the configuration in force; undefined: there is no such team. */
export type FindLimits = (team: string) => TeamLimits | undefined;

/** This daemon's share of each team's limits, and its word on what it needs. */
export interface TeamShareSource {
  getShares(team: string): ShareAmounts;
  /** Notes a request that came, and how many of the team's run. */
  noteArrival(team: string, costMicroUsd: number, running: number): void;
  /** Notes that one was refused for want of a slot. */
  noteSlotRefusal(team: string): void;
  noteEnd(team: string, running: number): void;
  /** Asks for the share of a team that was idle here; false: there is none to wait for. */
  waitForShare(team: string): Promise<boolean>;
}

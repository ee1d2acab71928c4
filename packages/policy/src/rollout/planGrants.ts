/**
 * Splits the exposure budget of a roll-out over the daemons; run by the lease holder. While the
 * budget is small, only a few daemons, chosen by rendezvous hashing, get a grant. The sum of
 * answers without a known outcome stays within the budget, however many daemons there are.
 */
import { rankByRendezvous } from '@snipehaven/common';
import { defaultRolloutSettings } from './constants.js';
import type {
  DaemonExposure,
  ExposureGrant,
  RolloutDefinition,
  RolloutProgress,
  RolloutSettings,
} from './types.js';

export interface GrantInput {
  readonly definition: RolloutDefinition;
  readonly progress: RolloutProgress;
  /** Every daemon that has ever held a grant, and all live ones. */
  readonly daemons: readonly DaemonExposure[];
  /** Number of ratings of the candidate so far. */
  readonly ratingCount: number;
  readonly settings?: RolloutSettings;
}

/**
 * Number of a daemon's answers that may still be without a known outcome. Answers of dead daemons
 * count too.
 */
const getUnjudgedCount = (daemon: DaemonExposure): number =>
  Math.max(0, Math.max(daemon.grantedCount, daemon.exposedCount) - daemon.judgedCount);

/** Limit on answers without a known outcome: the budget at first, more as evidence accumulates. */
export const getExposureLimit = (
  definition: RolloutDefinition,
  ratingCount: number,
  settings: RolloutSettings = defaultRolloutSettings,
): number => Math.max(definition.exposureBudget, Math.floor(settings.budgetGrowth * ratingCount));

const chooseDaemons = (
  input: GrantInput,
  limit: number,
  settings: RolloutSettings,
): readonly DaemonExposure[] => {
  const live = input.daemons.filter((daemon) => daemon.isLive);
  const wanted = Math.max(1, Math.floor(limit / settings.answersPerDaemonGrant));
  const byId = new Map(live.map((daemon) => [daemon.incarnation, daemon]));
  return rankByRendezvous(input.definition.rolloutId, [...byId.keys()])
    .slice(0, wanted)
    .flatMap((incarnation) => byId.get(incarnation) ?? []);
};

/** The chosen daemons get a larger share, which compensates for the daemons without a grant. */
const getDaemonSharePct = (
  input: GrantInput,
  chosenCount: number,
  settings: RolloutSettings,
): number => {
  const stagePct = input.definition.stages[input.progress.stage]?.sharePct ?? 0;
  const liveCount = input.daemons.filter((daemon) => daemon.isLive).length;
  const raised = (stagePct * liveCount) / Math.max(1, chosenCount);
  return Math.max(stagePct, Math.min(raised, settings.maxDaemonSharePct));
};

/** Splits the unused part of the limit. Daemons that have used up their part are refilled first. */
const splitFreeBudget = (
  chosen: readonly DaemonExposure[],
  free: number,
  limit: number,
): readonly number[] => {
  const perDaemon = Math.ceil(limit / Math.max(1, chosen.length));
  let left = free;
  return chosen.map((daemon) => {
    const wanted = Math.max(0, perDaemon - getUnjudgedCount(daemon));
    const added = Math.min(wanted, left);
    left -= added;
    return added;
  });
};

/** Returns grants for the chosen daemons; the others get none. */
export const planGrants = (input: GrantInput): readonly ExposureGrant[] => {
  const settings = input.settings ?? defaultRolloutSettings;
  if (input.progress.phase !== 'running' || input.definition.isPaused) {
    return [];
  }
  const limit = getExposureLimit(input.definition, input.ratingCount, settings);
  const unjudged = input.daemons.reduce((sum, daemon) => sum + getUnjudgedCount(daemon), 0);
  const chosen = chooseDaemons(input, limit, settings);
  const added = splitFreeBudget(chosen, Math.max(0, limit - unjudged), limit);
  const sharePct = getDaemonSharePct(input, chosen.length, settings);
  return chosen.map((daemon, index) => ({
    rolloutId: input.definition.rolloutId,
    incarnation: daemon.incarnation,
    fence: input.progress.fence,
    grantedCount: daemon.grantedCount + (added[index] ?? 0),
    sharePct,
  }));
};

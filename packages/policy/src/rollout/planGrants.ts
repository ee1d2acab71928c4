/**
 * The holder of a roll-out splits the exposure budget over daemons. Only a few daemons, chosen by
 * rendezvous hashing, get a grant while the budget is small; the answers out and not yet judged
 * stay within the budget in sum, however many daemons there are.
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

/** Input of the split. */
export interface GrantInput {
  readonly definition: RolloutDefinition;
  readonly progress: RolloutProgress;
  /** Every daemon that ever had a grant, and all live ones. */
  readonly daemons: readonly DaemonExposure[];
  /** Ratings of the candidate so far. */
  readonly ratingCount: number;
  readonly settings?: RolloutSettings;
}

/** Answers of a daemon that may be out without a known outcome; those of a dead one count too. */
const getUnjudgedCount = (daemon: DaemonExposure): number =>
  Math.max(0, Math.max(daemon.grantedCount, daemon.exposedCount) - daemon.judgedCount);

/** Answers that may be out without a known outcome: the budget, more with growing evidence. */
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

/** The share of a chosen daemon makes up for those that were not chosen. */
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

/** Splits what is free of the limit; daemons that used up their part are topped up first. */
const splitFree = (
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

/** Grants for the chosen daemons; nothing for the others. */
export const planGrants = (input: GrantInput): readonly ExposureGrant[] => {
  const settings = input.settings ?? defaultRolloutSettings;
  if (input.progress.phase !== 'running' || input.definition.isPaused) {
    return [];
  }
  const limit = getExposureLimit(input.definition, input.ratingCount, settings);
  const unjudged = input.daemons.reduce((sum, daemon) => sum + getUnjudgedCount(daemon), 0);
  const chosen = chooseDaemons(input, limit, settings);
  const added = splitFree(chosen, Math.max(0, limit - unjudged), limit);
  const sharePct = getDaemonSharePct(input, chosen.length, settings);
  return chosen.map((daemon, index) => ({
    rolloutId: input.definition.rolloutId,
    incarnation: daemon.incarnation,
    fence: input.progress.fence,
    grantedCount: daemon.grantedCount + (added[index] ?? 0),
    sharePct,
  }));
};

/**
 * The shares that hold without any message: those of data centres, and of the daemons within one. All follow
 * from sorted lists, so that they sum up to no more than the limit wherever the lists are the same.
 */
import { assignOwnSlots } from '@snipehaven/policy';
import type { SharePlace } from '@snipehaven/protocol';
import type { ShareAmounts, ShareKind, TeamLimits } from './types.js';

const OFFSET_FACTOR = 31;
const OFFSET_LIMIT = 65_521;

/** Lets the odd slots of different teams fall to different daemons. */
const getTeamOffset = (team: string): number =>
  [...team].reduce((sum, char) => (sum * OFFSET_FACTOR + char.charCodeAt(0)) % OFFSET_LIMIT, 0);

/** The data centre's fixed part of a team's limits. */
export const getDataCentreTotal = (
  team: string,
  limits: TeamLimits,
  place: SharePlace,
): ShareAmounts => ({
  flow: 1 / place.dataCentreCount,
  slots: assignOwnSlots({
    limit: limits.concurrency,
    upstreamIndex: getTeamOffset(team),
    daemonIndex: place.dataCentreIndex,
    daemonCount: place.dataCentreCount,
  }),
});

/** A daemon's fixed part of it. */
export const getFixedShares = (
  team: string,
  limits: TeamLimits,
  place: SharePlace,
): ShareAmounts => {
  const total = getDataCentreTotal(team, limits, place);
  return {
    flow: total.flow / place.daemonCount,
    slots: assignOwnSlots({
      limit: total.slots,
      upstreamIndex: getTeamOffset(team),
      daemonIndex: place.daemonIndex,
      daemonCount: place.daemonCount,
    }),
  };
};

/** The kinds of shares, as a table of their units. */
export const SHARE_QUANTA: Readonly<Record<ShareKind, number | undefined>> = {
  flow: undefined,
  slots: 1,
};

export const SHARE_KINDS = ['flow', 'slots'] as const satisfies readonly ShareKind[];

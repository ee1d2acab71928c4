/**
 * The shares that apply without any coordination: those of the data centres, and of the daemons
 * within a data centre. All derive from sorted lists, so their sum does not exceed the limit as
 * long as the lists are identical.
 */
import { assignOwnSlots } from '@snipehaven/policy';
import type { SharePlace } from '@snipehaven/protocol';
import type { ShareAmounts, ShareKind, TeamLimits } from './types.js';

const HASH_MULTIPLIER = 31;
const HASH_MODULUS = 65_521;

/** Spreads the slots left over by the division across daemons, differently for each team. */
const getTeamOffset = (team: string): number =>
  [...team].reduce((sum, char) => (sum * HASH_MULTIPLIER + char.charCodeAt(0)) % HASH_MODULUS, 0);

/** A data centre's fixed share of a team's limits. */
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

/** A daemon's fixed share of its data centre's share. */
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

/** The smallest unit in which each kind of share is granted; undefined for fractions. */
export const SHARE_QUANTA: Readonly<Record<ShareKind, number | undefined>> = {
  flow: undefined,
  slots: 1,
};

export const SHARE_KINDS = ['flow', 'slots'] as const satisfies readonly ShareKind[];

/** Encodes grants, exposures and pairs as tuples to reduce the message size. */
import { emptyPairCounts, type PairShare } from '@snipehaven/policy';
import type { ExposureTuple, GrantTuple, PairTuple } from '@snipehaven/protocol';
import type { ExposureMessage, GrantMessage } from './types.js';

export const encodeGrant = (grant: GrantMessage): GrantTuple => [
  grant.rolloutId,
  grant.incarnation,
  grant.fence,
  grant.plan,
  grant.grantedCount,
  grant.sharePct,
];

export const decodeGrant = (tuple: GrantTuple): GrantMessage => {
  const [rolloutId, incarnation, fence, plan, grantedCount, sharePct] = tuple;
  return { rolloutId, incarnation, fence, plan, grantedCount, sharePct };
};

export const encodeExposure = (exposure: ExposureMessage): ExposureTuple => [
  exposure.rolloutId,
  exposure.incarnation,
  exposure.grantedCount,
  exposure.exposedCount,
  exposure.judgedCount,
];

export const decodeExposure = (tuple: ExposureTuple): ExposureMessage => {
  const [rolloutId, incarnation, grantedCount, exposedCount, judgedCount] = tuple;
  return { rolloutId, incarnation, grantedCount, exposedCount, judgedCount };
};

/** Rated pairs of one source for one roll-out. */
export interface RolloutPairs {
  readonly rolloutId: string;
  readonly share: PairShare;
}

export const encodePairs = ({ rolloutId, share }: RolloutPairs): PairTuple => [
  rolloutId,
  share.source,
  share.counts.flatMap((count, bin) => (count === 0 ? [] : [bin, count])),
];

/** Bins unknown to this software version are ignored. */
export const decodePairs = ([rolloutId, source, filled]: PairTuple): RolloutPairs => {
  const counts = emptyPairCounts();
  for (let at = 0; at + 1 < filled.length; at += 2) {
    const bin = filled[at] as number;
    if (bin < counts.length) {
      counts[bin] = filled[at + 1] as number;
    }
  }
  return { rolloutId, share: { source, counts } };
};

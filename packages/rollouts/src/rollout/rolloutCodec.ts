/** Grants and exposures as tuples, to save bytes. */
import type { ExposureTuple, GrantTuple } from '@snipehaven/protocol';
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

/** Divides a limit among members by demand. */
import type { AmountsByMember } from './types.js';

interface Claim {
  readonly member: string;
  readonly demand: number;
}

/** Max-min fairness: small demands are met in full, larger ones share the remainder equally. */
const fillDemands = (total: number, claims: readonly Claim[]): Map<string, number> => {
  const shares = new Map<string, number>();
  let left = total;
  [...claims]
    .sort((a, b) => a.demand - b.demand)
    .forEach(({ member, demand }, index) => {
      const share = Math.min(demand, left / (claims.length - index));
      shares.set(member, share);
      left -= share;
    });
  return shares;
};

/**
 * Returns shares that follow demand and whose sum does not exceed `total`. Unclaimed capacity is
 * divided equally, so that a member can absorb its next burst before the allocator learns of it.
 */
export const divideLimit = (total: number, demands: AmountsByMember): AmountsByMember => {
  const claims = Object.entries(demands).map(([member, demand]) => ({ member, demand }));
  const shares = fillDemands(Math.max(0, total), claims);
  const used = [...shares.values()].reduce((sum, share) => sum + share, 0);
  const spare = claims.length > 0 ? Math.max(0, total - used) / claims.length : 0;
  return Object.fromEntries([...shares].map(([member, share]) => [member, share + spare]));
};

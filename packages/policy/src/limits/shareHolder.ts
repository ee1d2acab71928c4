/**
 * The member's side of a divided limit. A share is a lease that ends by the member's own clock,
 * counted from the moment at which the request was SENT. However long the messages took, it ends
 * before the allocator counts it as ended. Only the answer to the latest request is adopted: a
 * delayed older answer would restore a share that the allocator has since granted to others, and
 * the team's rate would exceed its limit.
 */
import { SHARE_CLOCK_DRIFT, SHARE_FALLBACK_MS } from './constants.js';
import type { ShareGrant, ShareHolder, ShareRequest } from './types.js';

/**
 * Creates the state of a member that has just started and has no share. It waits for the full
 * fallback delay like any other member: its previous incarnation may have promised the allocator
 * not to fall back earlier, and the promise is still valid.
 */
export const createShareHolder = (
  member: string,
  fixedShare: number,
  nowMs: number,
): ShareHolder => ({
  member,
  fixedShare,
  seq: nowMs,
  requestSentAtMs: nowMs,
  share: 0,
  shareUntilMs: nowMs,
  fallBackAtMs: nowMs + SHARE_FALLBACK_MS * (1 + SHARE_CLOCK_DRIFT),
});

/**
 * Returns the share that the member may use now. Between the end of its lease and the fallback,
 * this is the smaller of the last share and the fixed share, because other members may still be
 * using what was lent to them.
 */
export const getShareInForce = (holder: ShareHolder, nowMs: number): number => {
  if (nowMs < holder.shareUntilMs) {
    return holder.share;
  }
  return nowMs >= holder.fallBackAtMs
    ? holder.fixedShare
    : Math.min(holder.share, holder.fixedShare);
};

/**
 * Creates the next request. `inUse` is the amount that cannot be released at once, such as running
 * requests.
 */
export const requestShare = (
  holder: ShareHolder,
  demand: number,
  nowMs: number,
  inUse = 0,
): { readonly holder: ShareHolder; readonly request: ShareRequest } => {
  const seq = Math.max(holder.seq + 1, nowMs);
  const { member, fixedShare, lastAnswer } = holder;
  const heldShare = Math.max(inUse, getShareInForce(holder, nowMs));
  const request = { member, seq, demand, heldShare, fixedShare, ...(lastAnswer && { lastAnswer }) };
  return { holder: { ...holder, seq, requestSentAtMs: nowMs }, request };
};

/** Applies a grant. Grants that do not answer the latest request are ignored. */
export const adoptShare = (holder: ShareHolder, grant: ShareGrant, nowMs: number): ShareHolder => {
  if (grant.member !== holder.member || grant.seq !== holder.seq) {
    return holder;
  }
  return {
    ...holder,
    share: grant.share,
    shareUntilMs: holder.requestSentAtMs + grant.ttlMs * (1 - SHARE_CLOCK_DRIFT),
    fallBackAtMs: nowMs + SHARE_FALLBACK_MS * (1 + SHARE_CLOCK_DRIFT),
    lastAnswer: { term: grant.term, answeredAtMs: grant.answeredAtMs },
  };
};

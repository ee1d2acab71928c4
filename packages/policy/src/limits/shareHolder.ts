/**
 * A member's side of a divided limit. A share is a lease: it ends by the member's own clock, counted
 * from the moment the request was SENT, so that it ends before the allocator counts it as ended,
 * however long the messages took. Only the answer to the latest request is adopted: an older one
 * that comes late would bring back a share that the allocator has since given to others, which one
 * would notice as a team's rate above its limit.
 */
import { SHARE_CLOCK_DRIFT, SHARE_FALL_BACK_MS } from './constants.js';
import type { ShareGrant, ShareHolder, ShareRequest } from './types.js';

/**
 * A member that has just started, without a share. It waits as long as any other before it falls
 * back: an earlier life of it may have promised the allocator so, and the promise outlasts it.
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
  fallBackAtMs: nowMs + SHARE_FALL_BACK_MS * (1 + SHARE_CLOCK_DRIFT),
});

/**
 * The share that the member may use now. Between the end of its lease and the fall back it keeps
 * no more than the smaller of both, for others may still be using what it lent them.
 */
export const getShareInForce = (holder: ShareHolder, nowMs: number): number => {
  if (nowMs < holder.shareUntilMs) {
    return holder.share;
  }
  return nowMs >= holder.fallBackAtMs
    ? holder.fixedShare
    : Math.min(holder.share, holder.fixedShare);
};

/** The next request to send. `inUse` is what can't be given up at once: running requests. */
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

/** The holder after an answer has come; unchanged by any but the answer to the latest request. */
export const adoptShare = (holder: ShareHolder, grant: ShareGrant, nowMs: number): ShareHolder => {
  if (grant.member !== holder.member || grant.seq !== holder.seq) {
    return holder;
  }
  return {
    ...holder,
    share: grant.share,
    shareUntilMs: holder.requestSentAtMs + grant.ttlMs * (1 - SHARE_CLOCK_DRIFT),
    fallBackAtMs: nowMs + SHARE_FALL_BACK_MS * (1 + SHARE_CLOCK_DRIFT),
    lastAnswer: { term: grant.term, answeredAtMs: grant.answeredAtMs },
  };
};

/**
 * The allocator of one limit. The sum of the shares in force never exceeds the limit, whatever
 * messages are lost or delayed and whichever process dies, because of three rules:
 *
 * - A reduced share counts at its previous size until the member reports a smaller one or the
 *   previous grant has expired.
 * - A member that is partitioned from the allocator falls back to its fixed share after a while.
 *   Each member reports the last answer that it adopted and thereby promises not to fall back
 *   earlier; a grant that outlasts this promise leaves room for the fixed share.
 * - Members that have not reported in this term may be partitioned and on their fixed shares, so
 *   room is reserved for all of them. By configuration, the sum of the fixed shares does not exceed
 *   the limit.
 *
 * Without the second rule, a partitioned data centre and the remaining ones would both use the same
 * share.
 */
import { SHARE_FALLBACK_MS, SHARE_FORGET_MS, SHARE_TTL_MS } from './constants.js';
import { divideLimit } from './divideLimit.js';
import type { ShareAllocator, ShareGrant, ShareMember, ShareRequest } from './types.js';

/** Creates an allocator at the start of its term. */
export const createShareAllocator = (
  total: number,
  term: number,
  termEndsAtMs: number,
): ShareAllocator => ({ total, term, termEndsAtMs, members: {} });

/** Extends the term after the allocator's lease was renewed. */
export const extendTerm = (allocator: ShareAllocator, termEndsAtMs: number): ShareAllocator => ({
  ...allocator,
  termEndsAtMs,
});

/**
 * Removes a member that is no longer in the VM list. Such a member has ended and is not
 * partitioned, so its share becomes free.
 */
export const removeShareMember = (allocator: ShareAllocator, member: string): ShareAllocator => {
  const left = Object.entries(allocator.members).filter(([name]) => name !== member);
  return { ...allocator, members: Object.fromEntries(left) };
};

const removeExpiredMembers = (allocator: ShareAllocator, nowMs: number): ShareAllocator => {
  const isUnexpired = ([, member]: [string, ShareMember]): boolean =>
    nowMs - member.lastRequestAtMs < SHARE_FORGET_MS;
  return {
    ...allocator,
    members: Object.fromEntries(Object.entries(allocator.members).filter(isUnexpired)),
  };
};

const sumBy = (members: readonly ShareMember[], pick: (member: ShareMember) => number): number =>
  members.reduce((sum, member) => sum + pick(member), 0);

/** Returns the largest share that the member may use at any time from now until `untilMs`. */
const getMaxShareInForce = (member: ShareMember, nowMs: number, untilMs: number): number => {
  const granted =
    nowMs < member.outstandingUntilMs
      ? member.outstanding
      : Math.min(member.outstanding, member.fixedShare);
  return untilMs < member.noFallbackBeforeMs ? granted : Math.max(granted, member.fixedShare);
};

const getUnreportedShares = ({ total, members }: ShareAllocator): number =>
  Math.max(0, total - sumBy(Object.values(members), (member) => member.fixedShare));

const getNoFallbackBeforeMs = ({ term }: ShareAllocator, { lastAnswer }: ShareRequest): number =>
  lastAnswer?.term === term ? lastAnswer.answeredAtMs + SHARE_FALLBACK_MS : 0;

const recordRequest = (
  allocator: ShareAllocator,
  request: ShareRequest,
  nowMs: number,
): ShareAllocator => {
  const member: ShareMember = {
    seq: request.seq,
    demand: request.demand,
    fixedShare: request.fixedShare,
    outstanding: request.heldShare,
    outstandingUntilMs: nowMs + SHARE_TTL_MS,
    noFallbackBeforeMs: getNoFallbackBeforeMs(allocator, request),
    lastRequestAtMs: nowMs,
  };
  return { ...allocator, members: { ...allocator.members, [request.member]: member } };
};

const isUnresponsive = (member: ShareMember, nowMs: number): boolean =>
  nowMs - member.lastRequestAtMs >= SHARE_TTL_MS;

/** Returns the member's share as if all reduced shares had been released already. */
const getTarget = (allocator: ShareAllocator, name: string, nowMs: number): number => {
  const entries = Object.entries(allocator.members);
  const unresponsive = entries
    .map(([, member]) => member)
    .filter((member) => isUnresponsive(member, nowMs));
  const responsive = entries.filter(([, member]) => !isUnresponsive(member, nowMs));
  const reserved =
    getUnreportedShares(allocator) + sumBy(unresponsive, (member) => member.fixedShare);
  const demands = Object.fromEntries(responsive.map(([id, member]) => [id, member.demand]));
  return divideLimit(allocator.total - reserved, demands)[name] ?? 0;
};

/** Returns how much of the limit the other members leave for this one until `untilMs`. */
const getAvailableShare = (
  allocator: ShareAllocator,
  name: string,
  nowMs: number,
  untilMs: number,
): number => {
  const others = Object.entries(allocator.members)
    .filter(([id]) => id !== name)
    .map(([, member]) => member);
  const used = sumBy(others, (member) => getMaxShareInForce(member, nowMs, untilMs));
  return Math.max(0, allocator.total - used - getUnreportedShares(allocator));
};

const recordGrant = (
  allocator: ShareAllocator,
  name: string,
  share: number,
  untilMs: number,
): ShareAllocator => {
  const member = allocator.members[name] as ShareMember;
  const granted = {
    ...member,
    outstanding: Math.max(member.outstanding, share),
    outstandingUntilMs: Math.max(member.outstandingUntilMs, untilMs),
  };
  return { ...allocator, members: { ...allocator.members, [name]: granted } };
};

/**
 * Rounds a share to whole units where fractions are of no use. If fractions of a slot were spread
 * over all members, none could run a request, and a small team would be refused everywhere. The
 * share of a member with demand is rounded up while capacity is left, first come, first served.
 */
const roundToQuantum = (
  allocator: ShareAllocator,
  demand: number,
  target: number,
  available: number,
) => {
  const { quantum } = allocator;
  if (quantum === undefined) {
    return Math.min(target, available);
  }
  const units = demand > 0 ? Math.ceil(target / quantum) : Math.floor(target / quantum);
  return Math.min(units, Math.floor(available / quantum)) * quantum;
};

const isStale = ({ members }: ShareAllocator, { member, seq }: ShareRequest): boolean => {
  const known = members[member];
  return known !== undefined && seq <= known.seq;
};

/** Records a request from a member without demand, and spares the computation of an answer. */
export const hearShareMember = (
  allocator: ShareAllocator,
  request: ShareRequest,
  nowMs: number,
): ShareAllocator =>
  isStale(allocator, request) ? allocator : recordRequest(allocator, request, nowMs);

/**
 * Answers a request. There is no grant for a stale or duplicate request, nor after the end of the
 * term.
 */
export const answerShareRequest = (
  allocator: ShareAllocator,
  request: ShareRequest,
  nowMs: number,
): { readonly allocator: ShareAllocator; readonly grant?: ShareGrant } => {
  const ttlMs = Math.min(SHARE_TTL_MS, allocator.termEndsAtMs - nowMs);
  if (ttlMs <= 0 || isStale(allocator, request)) {
    return { allocator };
  }
  const { member: name, seq } = request;
  const untilMs = nowMs + ttlMs;
  const recorded = recordRequest(removeExpiredMembers(allocator, nowMs), request, nowMs);
  const target = getTarget(recorded, name, nowMs);
  const available = getAvailableShare(recorded, name, nowMs, untilMs);
  const share = roundToQuantum(recorded, request.demand, target, available);
  const grant = { member: name, seq, term: recorded.term, share, ttlMs, answeredAtMs: nowMs };
  return { allocator: recordGrant(recorded, name, share, untilMs), grant };
};

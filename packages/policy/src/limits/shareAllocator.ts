/**
 * The allocator of one limit. The sum of what may be in force never exceeds the limit, whatever
 * messages are lost or late and whoever dies, by three rules:
 *
 * - A lowered share counts at its old height until the member says that it holds less, or until
 *   the old grant has ended.
 * - A member that falls silent takes its fixed share again after a time. Each member names the last
 *   answer it adopted and thereby promises not to do so earlier; a grant that would outlast that
 *   promise leaves room for the fixed share.
 * - Members not heard of in this term may be cut off and on their fixed shares: room is left for
 *   them all. Fixed shares sum up to no more than the limit, by configuration.
 *
 * Without the second rule a data centre that is cut off and the rest would use its share twice.
 */
import { SHARE_FALL_BACK_MS, SHARE_FORGET_MS, SHARE_TTL_MS } from './constants.js';
import { divideLimit } from './divideLimit.js';
import type { ShareAllocator, ShareGrant, ShareMember, ShareRequest } from './types.js';

/** An allocator at the start of its term. */
export const createShareAllocator = (
  total: number,
  term: number,
  termEndsAtMs: number,
): ShareAllocator => ({ total, term, termEndsAtMs, members: {} });

/** The same allocator after its lease was renewed. */
export const extendTerm = (allocator: ShareAllocator, termEndsAtMs: number): ShareAllocator => ({
  ...allocator,
  termEndsAtMs,
});

/** Frees the place of a member that the VM list has dropped: it is gone, not cut off. */
export const forgetShareMember = (allocator: ShareAllocator, member: string): ShareAllocator => {
  const left = Object.entries(allocator.members).filter(([name]) => name !== member);
  return { ...allocator, members: Object.fromEntries(left) };
};

const forgetSilent = (allocator: ShareAllocator, nowMs: number): ShareAllocator => {
  const isHeard = ([, member]: [string, ShareMember]): boolean =>
    nowMs - member.heardAtMs < SHARE_FORGET_MS;
  return {
    ...allocator,
    members: Object.fromEntries(Object.entries(allocator.members).filter(isHeard)),
  };
};

const sumOf = (members: readonly ShareMember[], pick: (member: ShareMember) => number): number =>
  members.reduce((sum, member) => sum + pick(member), 0);

/** The most that a member may use at any time from now until `untilMs`. */
const getMostInForce = (member: ShareMember, nowMs: number, untilMs: number): number => {
  const granted =
    nowMs < member.outstandingUntilMs
      ? member.outstanding
      : Math.min(member.outstanding, member.fixedShare);
  return untilMs < member.noFallBackBeforeMs ? granted : Math.max(granted, member.fixedShare);
};

const getUnheardShares = ({ total, members }: ShareAllocator): number =>
  Math.max(0, total - sumOf(Object.values(members), (member) => member.fixedShare));

const getNoFallBackBeforeMs = ({ term }: ShareAllocator, { lastAnswer }: ShareRequest): number =>
  lastAnswer?.term === term ? lastAnswer.answeredAtMs + SHARE_FALL_BACK_MS : 0;

const hearRequest = (
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
    noFallBackBeforeMs: getNoFallBackBeforeMs(allocator, request),
    heardAtMs: nowMs,
  };
  return { ...allocator, members: { ...allocator.members, [request.member]: member } };
};

const isSilent = (member: ShareMember, nowMs: number): boolean =>
  nowMs - member.heardAtMs >= SHARE_TTL_MS;

/** What the member should have, were all lowered shares given back already. */
const getTarget = (allocator: ShareAllocator, name: string, nowMs: number): number => {
  const entries = Object.entries(allocator.members);
  const silent = entries.map(([, member]) => member).filter((member) => isSilent(member, nowMs));
  const heard = entries.filter(([, member]) => !isSilent(member, nowMs));
  const reserved = getUnheardShares(allocator) + sumOf(silent, (member) => member.fixedShare);
  const demands = Object.fromEntries(heard.map(([id, member]) => [id, member.demand]));
  return divideLimit(allocator.total - reserved, demands)[name] ?? 0;
};

/** What the others leave for the member until `untilMs`. */
const getRoom = (
  allocator: ShareAllocator,
  name: string,
  nowMs: number,
  untilMs: number,
): number => {
  const others = Object.entries(allocator.members)
    .filter(([id]) => id !== name)
    .map(([, member]) => member);
  const used = sumOf(others, (member) => getMostInForce(member, nowMs, untilMs));
  return Math.max(0, allocator.total - used - getUnheardShares(allocator));
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
 * A share in whole units where only these are of use: parts of a slot, spread over all members, would let
 * none of them run anything, which one would notice as a small team refused everywhere. Who asks gets its
 * target rounded up while there is room, first come first served.
 */
const toWholeUnits = (allocator: ShareAllocator, demand: number, target: number, room: number) => {
  const { quantum } = allocator;
  if (quantum === undefined) {
    return Math.min(target, room);
  }
  const units = demand > 0 ? Math.ceil(target / quantum) : Math.floor(target / quantum);
  return Math.min(units, Math.floor(room / quantum)) * quantum;
};

const isOld = ({ members }: ShareAllocator, { member, seq }: ShareRequest): boolean => {
  const known = members[member];
  return known !== undefined && seq <= known.seq;
};

/** Takes in a request that wants nothing, without the work of an answer. */
export const hearShareMember = (
  allocator: ShareAllocator,
  request: ShareRequest,
  nowMs: number,
): ShareAllocator =>
  isOld(allocator, request) ? allocator : hearRequest(allocator, request, nowMs);

/** Answers one request, or doesn't: to an old or repeated one, and when the term is over. */
export const answerShareRequest = (
  allocator: ShareAllocator,
  request: ShareRequest,
  nowMs: number,
): { readonly allocator: ShareAllocator; readonly grant?: ShareGrant } => {
  const ttlMs = Math.min(SHARE_TTL_MS, allocator.termEndsAtMs - nowMs);
  if (ttlMs <= 0 || isOld(allocator, request)) {
    return { allocator };
  }
  const { member: name, seq } = request;
  const untilMs = nowMs + ttlMs;
  const heard = hearRequest(forgetSilent(allocator, nowMs), request, nowMs);
  const target = getTarget(heard, name, nowMs);
  const room = getRoom(heard, name, nowMs, untilMs);
  const share = toWholeUnits(heard, request.demand, target, room);
  const grant = { member: name, seq, term: heard.term, share, ttlMs, answeredAtMs: nowMs };
  return { allocator: recordGrant(heard, name, share, untilMs), grant };
};

/** The promises, each as a check over what callers and upstreams saw. */
import {
  CALLER_DEADLINE_MS,
  COLD_MS,
  COLD_NOTICE_MS,
  COLD_OVERAGE,
  COLD_PER_S,
  COLD_SLACK,
  CONTACT_MS,
  DRAIN_MS,
  EVACUATE_MS,
  GONE_MS,
  OVERDUE_MS,
  REVOKE_DEADLINE_MS,
} from '../constants.js';
import { renderPlainBody, renderStreamBody } from '../outside/backEnds.js';
import type { ArrivalRecord, AttemptRecord, RunRecord } from '../types.js';
import { brokeBackOff } from './backOffs.js';
import { isCalmBetween, isSuccess, type Evidence } from './evidence.js';
import { listUnservedVms } from './calmService.js';
import { fellOver } from './falls.js';
import { reachedToldLeaving } from './leavings.js';
import { overranLimit } from './rateLimits.js';
import { sessionMoved } from './sessionMoves.js';

/** Lists what breaks the promise, a line each. */
export type PromiseCheck = (evidence: Evidence) => readonly string[];

const SAYS_NOT_RUN = new Set([408, 421, 429, 503]);

/** Workers that go on for callers who left: this share is the network's own delay. */
const GONE_SHARE = 0.25;

const getRuns = ({ runsByAttempt }: Evidence, { id }: AttemptRecord): readonly RunRecord[] =>
  runsByAttempt.get(id) ?? [];

const describe = (attempt: AttemptRecord): string =>
  `${attempt.id} ${attempt.kind} at ${attempt.vm} status ${attempt.status}` +
  ` sent ${Math.round(attempt.sentAtMs)} ended ${Math.round(attempt.endedAtMs ?? 0)}`;

/** While the attempt ran. */
const isCalm = (evidence: Evidence, { vm, sentAtMs, endedAtMs }: AttemptRecord): boolean =>
  isCalmBetween(evidence, [vm], sentAtMs, endedAtMs ?? performance.now());

const ranTwice: PromiseCheck = (evidence) =>
  evidence.attempts
    .filter((attempt) => attempt.kind === 'write' && getRuns(evidence, attempt).length > 1)
    .map(describe);

const falselyNotRun: PromiseCheck = (evidence) =>
  evidence.attempts
    .filter(({ kind, status }) => kind === 'write' && SAYS_NOT_RUN.has(status ?? 0))
    .filter((attempt) => getRuns(evidence, attempt).length > 0)
    .map(describe);

const wrongAnswer: PromiseCheck = ({ attempts }) =>
  attempts
    .filter(isSuccess)
    .filter(({ id, kind, body, signature }) => {
      const expected = kind === 'chat' ? renderStreamBody(id) : renderPlainBody(id);
      return body !== expected || signature !== `signed-${id}`;
    })
    .map(describe);

/** What came of a stream that broke off must be the beginning of the whole. */
const brokenOrder: PromiseCheck = ({ attempts }) =>
  attempts
    .filter(({ kind, status, isWhole }) => kind === 'chat' && status === 200 && !isWhole)
    .filter(({ id, body }) => !renderStreamBody(id).startsWith(body))
    .map(describe);

const signedFailure: PromiseCheck = (evidence) =>
  evidence.attempts
    .filter(({ status, signature }) => signature !== undefined && status !== 200)
    .filter((attempt) => !getRuns(evidence, attempt).some((run) => run.status === attempt.status))
    .map(describe);

const foreignTeam: PromiseCheck = (evidence) =>
  evidence.attempts.flatMap((attempt) =>
    getRuns(evidence, attempt)
      .filter(({ team, hasKey }) => hasKey || team !== attempt.team)
      .map(({ team }) => `${describe(attempt)} ran for ${team}`),
  );

const unasked: PromiseCheck = ({ attempts, runsByAttempt }) => {
  const asked = new Set(attempts.map(({ id }) => id));
  return [...runsByAttempt.keys()].filter((id) => !asked.has(id));
};

/** Binds machines that are out of touch, too. */
const revokedKeyRan: PromiseCheck = (evidence) =>
  evidence.attempts
    .filter(({ key, sentAtMs }) => {
      const revokedAtMs = evidence.world.operator.revokedAtMs.get(key) ?? Infinity;
      return sentAtMs > revokedAtMs + REVOKE_DEADLINE_MS;
    })
    .filter((attempt) => getRuns(evidence, attempt).length > 0)
    .map(describe);

const reachedLeaving: PromiseCheck = (evidence) => {
  const { world, attempts } = evidence;
  const byId = new Map(attempts.map((attempt) => [attempt.id, attempt]));
  return world.backEnds.arrivals.flatMap(({ attemptId, upstream, atMs }) => {
    const leaving = world.operator.leavings.find((one) => one.upstream === upstream);
    const attempt = byId.get(attemptId);
    const isLate = leaving !== undefined && atMs > leaving.acknowledgedAtMs + DRAIN_MS;
    return isLate && attempt && isCalm(evidence, attempt) ? [describe(attempt)] : [];
  });
};

const reachedEvacuated: PromiseCheck = (evidence) => {
  const { world, attempts } = evidence;
  const byId = new Map(attempts.map((attempt) => [attempt.id, attempt]));
  const homes = new Map(world.backEnds.all.map(({ id, dataCentre }) => [id, dataCentre]));
  return world.backEnds.arrivals.flatMap(({ attemptId, upstream, atMs }) => {
    const isLate = world.operator.evacuations.some(
      ({ dataCentre, acknowledgedAtMs, takenBackAtMs }) =>
        dataCentre === homes.get(upstream) &&
        atMs > acknowledgedAtMs + EVACUATE_MS &&
        atMs < takenBackAtMs,
    );
    const attempt = byId.get(attemptId);
    return isLate && attempt && isCalm(evidence, attempt) ? [describe(attempt)] : [];
  });
};

const WINDOW_MS = 1_000;

/** Prints the start in Unix milliseconds, like `timeMs` in the daemons' logs, which a clock step shifts. */
const describeColdSpan = (fromMs: number, isSudden: boolean): string =>
  `cold since ${Math.round(performance.timeOrigin + fromMs)}${isSudden ? ', sudden' : ''}`;

const countByVm = (
  arrivals: readonly ArrivalRecord[],
  vmByAttemptId: ReadonlyMap<string, string>,
): string => {
  const counts = new Map<string, number>();
  arrivals.forEach(({ attemptId }) => {
    const vm = vmByAttemptId.get(attemptId) ?? 'unknown';
    counts.set(vm, (counts.get(vm) ?? 0) + 1);
  });
  return [...counts].map(([vm, count]) => `${vm} ${count}`).join(', ');
};

/**
 * Holds for all VMs, in touch or not. An upstream tells of its coldness in the store alone: while that is
 * disturbed for all, nobody can know.
 */
const overranCold: PromiseCheck = ({ world, attempts }) => {
  const vmByAttemptId = new Map(attempts.map(({ id, vm }) => [id, vm]));
  return world.operator.coldSpans.flatMap(({ upstream, fromMs, isSudden }) => {
    if (world.faultLog.isDisturbed('store', fromMs, fromMs + COLD_MS)) {
      return [];
    }
    const knownMs = fromMs + (isSudden ? COLD_NOTICE_MS : 0);
    const arrivals = world.backEnds.arrivals
      .filter((one) => one.upstream === upstream)
      .filter(({ atMs }) => atMs >= knownMs && atMs < fromMs + COLD_MS);
    const windows = arrivals.map(({ atMs: from }) =>
      arrivals.filter(({ atMs }) => atMs >= from && atMs < from + WINDOW_MS),
    );
    const busiest = windows.reduce((most, one) => (one.length > most.length ? one : most), []);
    return busiest.length > COLD_PER_S * COLD_OVERAGE + COLD_SLACK
      ? [
          `${upstream}: ${busiest.length} requests in a second while cold` +
            ` (${describeColdSpan(fromMs, isSudden)}), by VM: ${countByVm(busiest, vmByAttemptId)}`,
        ]
      : [];
  });
};

/** A request that an upstream has, on a VM that nothing but planned work disturbs, gets its answer. */
const lost: PromiseCheck = (evidence) =>
  evidence.attempts
    .filter(({ cancelledAtMs, isWhole }) => cancelledAtMs === undefined && !isWhole)
    .filter((attempt) => getRuns(evidence, attempt).length > 0 && isCalm(evidence, attempt))
    .filter((attempt) => !getRuns(evidence, attempt).some(({ isFaulty }) => isFaulty))
    .map(describe);

const overdue: PromiseCheck = (evidence) =>
  evidence.attempts
    .filter(({ sentAtMs, endedAtMs, cancelledAtMs }) => {
      const tookMs = (endedAtMs ?? performance.now()) - sentAtMs;
      return tookMs > CALLER_DEADLINE_MS + OVERDUE_MS && (cancelledAtMs ?? Infinity) > sentAtMs;
    })
    .filter((attempt) => isCalm(evidence, attempt))
    .map(describe);

const workedForNobody: PromiseCheck = (evidence) => {
  const left = evidence.attempts.filter(
    (attempt) => attempt.cancelledAtMs !== undefined && isCalm(evidence, attempt),
  );
  const working = left.filter((attempt) =>
    getRuns(evidence, attempt).some(
      ({ endedAtMs }) => (endedAtMs ?? Infinity) > (attempt.cancelledAtMs ?? 0) + GONE_MS,
    ),
  );
  return working.length > left.length * GONE_SHARE ? working.map(describe) : [];
};

const unexpectedExit: PromiseCheck = ({ world }) => world.fleet.unexpectedExits;

/** A refusal for lack of a route or key, of a calm VM, once all is healed. */
const denied: PromiseCheck = ({ attempts, healedAtMs }) =>
  attempts
    .filter(
      ({ sentAtMs, status }) => sentAtMs > healedAtMs && [401, 403, 404].includes(status ?? 0),
    )
    .map(describe);

const notHealed: PromiseCheck = (evidence) =>
  listUnservedVms(evidence).map((line) => `${line} after ${CONTACT_MS} ms of calm`);

/** Sendings of one question or part that reach upstreams after all who are in touch must know of its ends. */
const MAX_LATE_SENDINGS = 3;

/** Upstreams that may end before a question or a part of prompts is known for the cause. */
const FREE_QUESTION_ENDS = 3;
const FREE_PART_ENDS = 5;

const deadlyWentOn: PromiseCheck = (evidence) => {
  const { world, attempts } = evidence;
  const { arrivals, deadlyEnds } = world.backEnds;
  const byId = new Map(attempts.map((attempt) => [attempt.id, attempt]));
  const causes = new Set(deadlyEnds.map(({ cause }) => cause));
  return [...causes].flatMap((cause) => {
    const ends = deadlyEnds.filter((end) => end.cause === cause);
    const freeEnds = world.backEnds.deadlyParts.has(cause) ? FREE_PART_ENDS : FREE_QUESTION_ENDS;
    const fromMs = (ends[freeEnds - 1]?.atMs ?? Infinity) + CONTACT_MS;
    const late = arrivals.filter(({ attemptId, atMs }) => {
      const attempt = byId.get(attemptId);
      return (
        attempt !== undefined &&
        [attempt.question, attempt.part].includes(cause) &&
        atMs > fromMs &&
        [attempt.vm, 'store'].every((target) =>
          world.faultLog.isCalm(target, attempt.sentAtMs, atMs),
        )
      );
    });
    return late.length > MAX_LATE_SENDINGS
      ? [`${cause}: ${late.length} late sendings, ${ends.length} upstreams ended`]
      : [];
  });
};

/** Of ordinary requests, the most that may be held back beside deadly ones. */
const MAX_HELD_SHARE = 0.01;

const heldWrongly: PromiseCheck = ({ attempts }) => {
  const ordinary = attempts.filter(
    ({ question, part }) => question === undefined && part === undefined,
  );
  const held = ordinary.filter(({ body }) => body.includes('"reason":"held'));
  return held.length > ordinary.length * MAX_HELD_SHARE
    ? [`${held.length} of ${ordinary.length} ordinary requests were held back`]
    : [];
};

export const promises: Readonly<Record<string, PromiseCheck>> = {
  ranTwice,
  falselyNotRun,
  wrongAnswer,
  brokenOrder,
  signedFailure,
  foreignTeam,
  unasked,
  revokedKeyRan,
  reachedLeaving,
  reachedToldLeaving,
  reachedEvacuated,
  overranCold,
  overranLimit,
  brokeBackOff,
  lost,
  overdue,
  workedForNobody,
  unexpectedExit,
  denied,
  notHealed,
  deadlyWentOn,
  fellOver,
  heldWrongly,
  sessionMoved,
};

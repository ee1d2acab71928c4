/** Whether the daemons together kept to the rate limits that upstreams named. */
import { CONTACT_MS, LIMIT_OVERAGE, LIMIT_SLACK, LIMIT_WINDOW_MS, TOLD_MS } from '../constants.js';
import type { LimitSpan } from '../outside/operator.js';
import type { Telling } from '../outside/statements.js';
import type { ArrivalRecord } from '../types.js';
import type { Evidence } from './evidence.js';
import { isUndisturbedSince, listToldAtMs } from './told.js';

const MS_PER_S = 1_000;

const listCounted = (evidence: Evidence, span: LimitSpan): readonly ArrivalRecord[] => {
  const { backEnds } = evidence.world;
  const vmByAttemptId = new Map(evidence.attempts.map(({ id, vm }) => [id, vm]));
  const isInSpan = ({ upstream, atMs }: ArrivalRecord | Telling): boolean =>
    upstream === span.upstream && atMs >= span.fromMs && atMs < span.toMs;
  const toldAtMs = listToldAtMs(evidence, backEnds.tellings.filter(isInSpan));
  return backEnds.arrivals
    .filter((arrival) => isInSpan(arrival) && arrival.atMs >= span.fromMs + CONTACT_MS)
    .filter(({ attemptId, atMs }) => {
      const vm = vmByAttemptId.get(attemptId) ?? '';
      return toldAtMs
        .get(vm)
        ?.some((told) => told <= atMs - TOLD_MS && isUndisturbedSince(evidence, vm, told, atMs));
    });
};

export const overranLimit = (evidence: Evidence): readonly string[] =>
  evidence.world.operator.limitSpans.flatMap((span) => {
    const counted = listCounted(evidence, span);
    const counts = counted.map(
      ({ atMs: from }) =>
        counted.filter(({ atMs }) => atMs >= from && atMs < from + LIMIT_WINDOW_MS).length,
    );
    const most = Math.max(0, ...counts);
    const allowed = span.perS * (LIMIT_WINDOW_MS / MS_PER_S) * LIMIT_OVERAGE + LIMIT_SLACK;
    const since = Math.round(performance.timeOrigin + span.fromMs);
    return most > allowed
      ? [`${span.upstream}: ${most} requests in 4 s at a limit of ${span.perS} since ${since}`]
      : [];
  });

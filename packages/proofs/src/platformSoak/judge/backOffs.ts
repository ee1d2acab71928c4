/** Whether upstreams that asked a VM for a back-off got it. */
import { MAX_BACK_OFF_ARRIVALS, TOLD_MS } from '../constants.js';
import type { Evidence } from './evidence.js';
import { isUndisturbedSince } from './told.js';

const MS_PER_S = 1_000;

/** A VM that was restarted, paused or cut off since, or whose answer was held up, is excused. */
export const brokeBackOff = (evidence: Evidence): readonly string[] => {
  const { backEnds, faultLog } = evidence.world;
  const vmByAttemptId = new Map(evidence.attempts.map(({ id, vm }) => [id, vm]));
  return backEnds.tellings.flatMap(({ attemptId, upstream, atMs, statement: { backOffS } }) => {
    const vm = vmByAttemptId.get(attemptId);
    const toMs = atMs + (backOffS ?? 0) * MS_PER_S;
    const isHeldUp = faultLog.isDisturbed('upstreams', atMs - TOLD_MS, atMs + TOLD_MS);
    if (vm === undefined || isHeldUp || !isUndisturbedSince(evidence, vm, atMs, toMs)) {
      return [];
    }
    const early = backEnds.arrivals.filter(
      (arrival) =>
        arrival.upstream === upstream &&
        arrival.atMs > atMs + TOLD_MS &&
        arrival.atMs < toMs &&
        vmByAttemptId.get(arrival.attemptId) === vm,
    );
    return early.length > MAX_BACK_OFF_ARRIVALS
      ? [`${upstream}: ${early.length} requests from ${vm} within ${backOffS} s of its answer`]
      : [];
  });
};

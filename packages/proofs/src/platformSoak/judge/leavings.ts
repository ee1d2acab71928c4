/** Whether upstreams that said in their answers that they leave were left alone. */
import { DRAIN_MS } from '../constants.js';
import type { Telling } from '../outside/statements.js';
import type { Evidence } from './evidence.js';
import { isUndisturbedSince, listToldAtMs } from './told.js';

const groupByUpstream = (tellings: readonly Telling[]): ReadonlyMap<string, readonly Telling[]> => {
  const groups = new Map<string, Telling[]>();
  tellings.forEach((telling) => {
    const group = groups.get(telling.upstream) ?? [];
    group.push(telling);
    groups.set(telling.upstream, group);
  });
  return groups;
};

/** Holds for all VMs, in touch or not, but for one that was restarted or paused since it was told. */
export const reachedToldLeaving = (evidence: Evidence): readonly string[] => {
  const { backEnds } = evidence.world;
  const byId = new Map(evidence.attempts.map((attempt) => [attempt.id, attempt]));
  const leaving = groupByUpstream(
    backEnds.tellings.filter(({ statement }) => statement.isLeaving === true),
  );
  return [...leaving].flatMap(([upstream, tellings]) => {
    const toldAtMs = listToldAtMs(evidence, tellings);
    return backEnds.arrivals
      .filter((arrival) => arrival.upstream === upstream)
      .flatMap(({ attemptId, atMs }) => {
        const attempt = byId.get(attemptId);
        const isLate =
          attempt !== undefined &&
          toldAtMs
            .get(attempt.vm)
            ?.some(
              (told) =>
                attempt.sentAtMs > told + DRAIN_MS &&
                isUndisturbedSince(evidence, attempt.vm, told, atMs),
            );
        return isLate ? [`${attemptId} from ${attempt.vm} at ${upstream}`] : [];
      });
  });
};

/** Where sessions changed the version that they ran on. */
import type { AttemptRecord } from '../types.js';
import type { SoakWorld } from '../world.js';
import { isCalmBetween, type Evidence } from './evidence.js';

/** Two requests of a session, one after the other, that ran on unlike versions. */
export interface SessionMove {
  readonly before: AttemptRecord;
  readonly after: AttemptRecord;
  readonly from: string;
  readonly to: string;
  /** When the later request reached the upstream. */
  readonly atMs: number;
}

interface VersionRun {
  readonly attempt: AttemptRecord;
  readonly version: string;
  readonly startedAtMs: number;
}

const SERVICE = 'models';

const listVersionRuns = ({ world, attempts, runsByAttempt }: Evidence): readonly VersionRun[] => {
  const backEnds = new Map(world.backEnds.all.map((backEnd) => [backEnd.id, backEnd]));
  return attempts
    .filter(({ session }) => session !== undefined)
    .flatMap((attempt) =>
      (runsByAttempt.get(attempt.id) ?? []).flatMap(({ upstream, startedAtMs }) => {
        const backEnd = backEnds.get(upstream);
        return backEnd?.service === SERVICE
          ? [{ attempt, version: backEnd.version, startedAtMs }]
          : [];
      }),
    )
    .sort((a, b) => a.startedAtMs - b.startedAtMs);
};

/** All moves, allowed or not. */
export const listSessionMoves = (evidence: Evidence): readonly SessionMove[] => {
  const last = new Map<string, VersionRun>();
  return listVersionRuns(evidence).flatMap((run) => {
    const { attempt, version, startedAtMs } = run;
    const before = last.get(attempt.session ?? '');
    last.set(attempt.session ?? '', run);
    const isMove = before !== undefined && before.attempt !== attempt && before.version !== version;
    return isMove
      ? [
          {
            before: before.attempt,
            after: attempt,
            from: before.version,
            to: version,
            atMs: startedAtMs,
          },
        ]
      : [];
  });
};

const describe = ({ before, after, from, to, atMs }: SessionMove): string =>
  `${after.session} moved from ${from} (${before.id} at ${before.vm})` +
  ` to ${to} (${after.id} at ${after.vm}) at ${Math.round(atMs)}`;

/** Whether every upstream of the version had been told to leave, so that none may receive new requests. */
const areAllUpstreamsLeaving = (
  { operator, backEnds }: SoakWorld,
  version: string,
  atMs: number,
): boolean =>
  backEnds.all
    .filter((backEnd) => backEnd.service === SERVICE && backEnd.version === version)
    .every(({ id }) =>
      operator.leavings.some(
        ({ upstream, acknowledgedAtMs }) => upstream === id && acknowledgedAtMs <= atMs,
      ),
    );

/** To the new version in the first half of its roll-out, or back from a good one that may still serve. */
const isForbidden = (world: SoakWorld, { from, to, atMs }: SessionMove): boolean => {
  const { operator } = world;
  return operator.rollouts.some((rollout) => {
    const isEarly = rollout.to === to && atMs < rollout.orderedAtMs + rollout.durationMs / 2;
    const isBack =
      rollout.to === from &&
      rollout.isGood &&
      rollout.state !== 'rolled_back' &&
      !areAllUpstreamsLeaving(world, from, atMs) &&
      !operator.rollouts.some(
        (later) => later.to === to && later.orderedAtMs > rollout.orderedAtMs,
      );
    return isEarly || isBack;
  });
};

const isCalm = (evidence: Evidence, { before, after }: SessionMove): boolean =>
  isCalmBetween(
    evidence,
    [before.vm, after.vm],
    before.sentAtMs,
    after.endedAtMs ?? performance.now(),
  );

export const sessionMoved = (evidence: Evidence): readonly string[] =>
  listSessionMoves(evidence)
    .filter((move) => isForbidden(evidence.world, move) && isCalm(evidence, move))
    .map(describe);

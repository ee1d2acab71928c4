import { install } from '@sinonjs/fake-timers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { asId, type VersionId } from '@snipehaven/common';
import type { TableTransaction } from '@snipehaven/platform';
import { rolloutSettings } from './constants.js';
import type { RolloutReport } from './types.js';
import {
  CANDIDATE,
  createClusterTest,
  STABLE,
  type TestCluster,
  type TestDaemon,
} from './testing/testCluster.js';
import { Traffic } from './testing/traffic.js';

/** Without the shadow phase, to test the stages alone. */
const withCluster = createClusterTest(install, { ...rolloutSettings, shadowSharePct: 0 });
const withShadow = createClusterTest(install);

const DATA_CENTRES = ['x', 'y', 'z'];
/** Limit on released answers of a grossly bad candidate, over all daemons. */
const MAX_EXPOSED = 30;
const FIVE_MINUTES_MS = 300_000;
const easyStages = [1, 10, 100].map((sharePct) => ({ sharePct, minRatings: 10 }));

const startTraffic = (
  cluster: TestCluster,
  options: Partial<ConstructorParameters<typeof Traffic>[1]> = {},
): Traffic => {
  const requestsPerSecond = 5 * cluster.daemons.length;
  const traffic = new Traffic(cluster, { requestsPerSecond, teams: 3, tasks: 2, ...options });
  cluster.onStep((stepMs) => traffic.step(stepMs));
  return traffic;
};

const getReport = ({ system }: TestDaemon): RolloutReport =>
  system.listStatus()[0] as RolloutReport;

const getDaemon = (cluster: TestCluster, index = 0): TestDaemon =>
  cluster.daemons[index] as TestDaemon;

const isBlockedEverywhere = ({ daemons }: TestCluster): boolean =>
  daemons.every(({ safeMoves }) => safeMoves.isVersionBlocked(CANDIDATE));

const getHighestStage = ({ daemons }: TestCluster): number =>
  Math.max(...daemons.map((daemon) => getReport(daemon).stage));

/** Records `count` rated answers at a daemon. */
const recordRatings = (
  { system }: TestDaemon,
  version: string,
  score: number,
  count: number,
): void => {
  const subject = { team: 'a', task: 't', version: asId<VersionId>(version), isEscalated: false };
  const ending = { end: 'complete', firstTokenMs: 1, totalMs: 1 } as const;
  for (let index = 0; index < count; index += 1) {
    system.evidence.recordEnding(subject, ending);
    system.evidence.recordScore(subject, score);
  }
};

/** Records clearly sufficient evidence for an advance. */
const recordGoodRatings = (daemon: TestDaemon): void => {
  recordRatings(daemon, STABLE, 0.7, 200);
  recordRatings(daemon, CANDIDATE, 0.95, 60);
};

const startWithLeaseHolder = async (cluster: TestCluster, count = 9): Promise<TestDaemon> => {
  cluster.declare({ stages: easyStages });
  cluster.addDaemons(count, DATA_CENTRES);
  assert.ok(await cluster.advanceUntil(() => cluster.findLeaseHolder() !== undefined, 20_000));
  return cluster.findLeaseHolder() as TestDaemon;
};

const assign = ({ system }: TestDaemon): string | undefined =>
  system.assigner.assign('small', {
    isStrict: false,
    allowsExploration: true,
    allowsCascade: true,
    isSession: false,
  })?.version;

/** Whether the assigner can still assign the candidate. */
const canAssignCandidate = (daemon: TestDaemon): boolean =>
  Array.from({ length: 200 }, () => assign(daemon)).includes(CANDIDATE);

const writesRollout = (transactions: readonly TableTransaction[]): boolean =>
  transactions.some(({ writes }) => writes.some(({ key }) => key === 'rollout/small'));

[9, 57].forEach((count) => {
  [true, false].forEach((allowsCascade) => {
    test(
      `quarantines a bad candidate, ${count} daemons, ${allowsCascade ? 'rated before release' : 'released unrated'}`,
      withCluster(async (cluster) => {
        // Guards against callers of every data centre receiving bad answers for minutes. In the
        // first stage, each daemon could expose several answers of a bad candidate before its first
        // rating arrives.
        cluster.addDaemons(count, DATA_CENTRES);
        cluster.rater.setScoring(({ version }) => (version === CANDIDATE ? 0.02 : 0.9));
        const traffic = startTraffic(cluster, { allowsCascade });
        const isBlocked = (): boolean => isBlockedEverywhere(cluster);
        assert.ok(await cluster.advanceUntil(isBlocked, FIVE_MINUTES_MS));
        const answersAtQuarantine = traffic.candidateAnswers;
        await cluster.advance(20_000);
        assert.is(traffic.candidateAnswers, answersAtQuarantine);
        assert.ok(traffic.candidateAnswers <= MAX_EXPOSED, `${traffic.candidateAnswers} exposed`);
        assert.ok(!allowsCascade || traffic.candidateReleased === 0);
        assert.is(getReport(getDaemon(cluster)).phase, 'quarantined');
      }),
    );
  });
});

test(
  'quarantines a failing candidate while the rater is down',
  withCluster(async (cluster) => {
    // Guards against a failing candidate that stays in use while the rater is down, because a guard
    // based on ratings alone never sees its errors.
    cluster.addDaemons(9, DATA_CENTRES);
    startTraffic(cluster);
    await cluster.advance(30_000);
    cluster.rater.setDown(true);
    const getEnd = (version: string) => (version === CANDIDATE ? 'error' : 'complete');
    const traffic = startTraffic(cluster, { getEnd });
    const isBlocked = (): boolean => isBlockedEverywhere(cluster);
    assert.ok(await cluster.advanceUntil(isBlocked, FIVE_MINUTES_MS));
    assert.ok(traffic.candidateAnswers <= MAX_EXPOSED, `${traffic.candidateAnswers} exposed`);
  }),
);

test(
  'advances a good candidate to the last stage, where it replaces the stable version',
  withCluster(async (cluster) => {
    cluster.declare({ stages: easyStages, maxFailureIncreasePct: 30 });
    cluster.addDaemons(9, DATA_CENTRES);
    startTraffic(cluster);
    const isFinished = (): boolean =>
      cluster.daemons.every((daemon) => getReport(daemon).phase === 'finished');
    assert.ok(await cluster.advanceUntil(isFinished, 4 * FIVE_MINUTES_MS));
    const audience = { isStrict: true, allowsExploration: false, allowsCascade: false };
    const { assigner } = getDaemon(cluster).system;
    const assignment = assigner.assign('small', { ...audience, isSession: true });
    assert.equal(assignment?.hidden, [STABLE]);
    const usableVersions = [STABLE];
    const other = assigner.assign('small', { ...audience, isSession: true, usableVersions });
    assert.is(other?.version, STABLE);
    assert.equal(other?.hidden, [CANDIDATE]);
  }),
);

test(
  'a new lease holder resumes at the stage of a killed one',
  withCluster(async (cluster) => {
    // Guards against a roll-out that stalls or restarts after its lease holder is killed with the
    // state in its memory.
    const holder = await startWithLeaseHolder(cluster);
    recordGoodRatings(holder);
    await cluster.advanceUntil(() => getHighestStage(cluster) === 1, 20_000);
    assert.is(getHighestStage(cluster), 1);
    cluster.kill(holder);
    assert.ok(await cluster.advanceUntil(() => cluster.findLeaseHolder() !== undefined, 60_000));
    const next = cluster.findLeaseHolder() as TestDaemon;
    assert.is(getReport(next).stage, 1);
    assert.equal(next.timeline.list({ types: ['rolloutAdvanced'] }), []);
    recordGoodRatings(next);
    const isAdvanced = (): boolean => getHighestStage(cluster) === 2;
    assert.ok(await cluster.advanceUntil(isAdvanced, 60_000));
  }),
);

test(
  'a holder that was frozen past the end of its lease cannot advance a stage',
  withCluster(async (cluster) => {
    // Guards against a write by a former lease holder. It checks its lease, sends the write and
    // freezes; the write arrives after another daemon has taken the lease. A lease that was valid
    // when checked may have ended when the write takes effect.
    const holder = await startWithLeaseHolder(cluster);
    let release: (() => void) | undefined;
    cluster.table.beforeTransact(async (transactions) => {
      if (writesRollout(transactions) && release === undefined) {
        await new Promise<void>((resolve) => {
          release = resolve;
        });
      }
    });
    recordGoodRatings(holder);
    await cluster.advanceUntil(() => release !== undefined, 20_000);
    cluster.frozen.add(holder.self.vm);
    const isTakenOver = (): boolean =>
      cluster.daemons.some(
        (daemon) => daemon !== holder && daemon.system.runner.listHeldRollouts().length > 0,
      );
    assert.ok(await cluster.advanceUntil(isTakenOver, 60_000));
    const [before] = await cluster.table.read(['rollout/small']);
    release?.();
    cluster.frozen.clear();
    await cluster.advance(300);
    const [after] = await cluster.table.read(['rollout/small']);
    assert.equal(after, before);
    assert.ok(!holder.system.runner.listHeldRollouts().includes('small'));
  }),
);

test(
  'a withdrawal between the read and the write of the holder prevents the advance',
  withCluster(async (cluster) => {
    // Guards against advancing a withdrawn version. The holder sees no withdrawal and sends its
    // write, but a withdrawal, which is a separate row, reaches the table first.
    const holder = await startWithLeaseHolder(cluster);
    const operator = cluster.daemons.find((daemon) => daemon !== holder) as TestDaemon;
    let isWithdrawn = false;
    cluster.table.beforeTransact(async (transactions) => {
      if (writesRollout(transactions) && !isWithdrawn) {
        isWithdrawn = true;
        await operator.safeMoves.activate('withdraw', CANDIDATE, 'bad', 'ann');
      }
    });
    recordGoodRatings(holder);
    await cluster.advance(30_000);
    assert.ok(isWithdrawn);
    assert.is(getHighestStage(cluster), 0);
    assert.ok(isBlockedEverywhere(cluster));
  }),
);

test(
  'a withdrawal known only to the table prevents the advance',
  withCluster(async (cluster) => {
    // Guards against advancing a withdrawn version. The daemon that accepted the withdrawal dies
    // after writing it to the table, so the lease holder never hears of it by gossip.
    const holder = await startWithLeaseHolder(cluster);
    const key = `safeMove/withdraw/${CANDIDATE}`;
    await cluster.table.transact([
      { conditions: [], writes: [{ key, value: { isActive: true } }] },
    ]);
    recordGoodRatings(holder);
    await cluster.advance(20_000);
    assert.is(getHighestStage(cluster), 0);
  }),
);

test(
  'a withdrawal after the last advance stops the assignment of the candidate',
  withCluster(async (cluster) => {
    // Guards against assigning new sessions to a withdrawn version. The withdrawal is made while
    // the table is unavailable, and the stored roll-out state still gives the candidate its share.
    const holder = await startWithLeaseHolder(cluster);
    recordGoodRatings(holder);
    const isFinished = (): boolean => getReport(getDaemon(cluster)).phase === 'finished';
    await cluster.advanceUntil(() => {
      recordRatings(holder, CANDIDATE, 0.95, 20);
      return isFinished();
    }, 60_000);
    assert.is(assign(getDaemon(cluster)), CANDIDATE);
    cluster.table.setUnavailable(true);
    void getDaemon(cluster, 4).safeMoves.activate('withdraw', CANDIDATE, 'bad', 'ann');
    await cluster.advance(2_000);
    cluster.daemons.forEach((daemon) => assert.is(assign(daemon), STABLE));
  }),
);

test(
  'does not advance or rate inline while the rater is down',
  withCluster(async (cluster) => {
    // Guards against advancing a stage or waiting for inline ratings during a rater outage, when
    // the existing counts suffice to advance but say nothing about current quality.
    const holder = await startWithLeaseHolder(cluster);
    cluster.rater.setDown(true);
    startTraffic(cluster);
    await cluster.advanceUntil(() => !holder.system.evidence.isRaterUp(), 60_000);
    recordGoodRatings(holder);
    await cluster.advance(30_000);
    assert.is(getHighestStage(cluster), 0);
    cluster.rater.setDown(false);
    const isAdvanced = (): boolean => getHighestStage(cluster) > 0;
    assert.ok(await cluster.advanceUntil(isAdvanced, 60_000));
  }),
);

test(
  'does not advance while the table is unavailable, but still quarantines a bad candidate',
  withCluster(async (cluster) => {
    // Advancing must require the table, and quarantining must not: otherwise a share could rise
    // without a lease, or a bad version stay in use during a table outage.
    const holder = await startWithLeaseHolder(cluster);
    cluster.table.setUnavailable(true);
    recordGoodRatings(holder);
    await cluster.advance(60_000);
    assert.is(getHighestStage(cluster), 0);
    assert.is(cluster.findLeaseHolder(), undefined);
    recordRatings(getDaemon(cluster, 5), CANDIDATE, 0.02, 300);
    const isBlocked = (): boolean => isBlockedEverywhere(cluster);
    assert.ok(await cluster.advanceUntil(isBlocked, 20_000));
  }),
);

test(
  'advances only once if the reply to the write is lost',
  withCluster(async (cluster) => {
    // Guards against skipping a stage or stopping after a lost reply, which the writer cannot
    // distinguish from a lost request.
    const holder = await startWithLeaseHolder(cluster);
    cluster.table.loseReplies('rollout/', 1);
    recordGoodRatings(holder);
    await cluster.advanceUntil(() => getHighestStage(cluster) > 0, 20_000);
    assert.is(getHighestStage(cluster), 1);
    assert.ok(holder.system.runner.listHeldRollouts().includes('small'));
  }),
);

test(
  'in a partitioned data centre no stage advances and grants expire',
  withCluster(async (cluster) => {
    // Guards against exceeding the budget when a partition heals. A partitioned data centre keeps
    // grants that nobody can revoke, while the others consider its daemons dead.
    const holder = await startWithLeaseHolder(cluster);
    await cluster.advance(20_000);
    const granted = cluster.daemons.find(
      (daemon) => daemon.self.dataCentre !== holder.self.dataCentre && canAssignCandidate(daemon),
    ) as TestDaemon;
    cluster.partitioned.add(granted.self.dataCentre);
    await cluster.advance(100_000);
    assert.ok(canAssignCandidate(granted));
    const neighbour = cluster.daemons.find(
      ({ self }) => self !== granted.self && self.dataCentre === granted.self.dataCentre,
    );
    recordGoodRatings(neighbour as TestDaemon);
    await cluster.advance(300_000);
    assert.not(canAssignCandidate(granted));
    assert.is(getReport(granted).stage, 0);
  }),
);

test(
  'a paused roll-out assigns no candidate answers and keeps its stage',
  withCluster(async (cluster) => {
    const holder = await startWithLeaseHolder(cluster);
    recordGoodRatings(holder);
    await cluster.advanceUntil(() => getHighestStage(cluster) === 1, 20_000);
    cluster.declare({ stages: easyStages, isPaused: true });
    const traffic = startTraffic(cluster);
    await cluster.advance(30_000);
    assert.is(traffic.candidateAnswers, 0);
    assert.is(getReport(holder).phase, 'paused');
    assert.is(getReport(holder).stage, 1);
  }),
);

[9, 57].forEach((count) => {
  test(
    `the shadow phase keeps a bad candidate from all callers, ${count} daemons`,
    withShadow(async (cluster) => {
      // Guards against callers receiving bad answers of a new version before its first answer has
      // been rated.
      cluster.addDaemons(count, DATA_CENTRES);
      cluster.rater.setScoring(({ version }) => (version === CANDIDATE ? 0.02 : 0.9));
      const traffic = startTraffic(cluster);
      const isBlocked = (): boolean => isBlockedEverywhere(cluster);
      assert.ok(await cluster.advanceUntil(isBlocked, FIVE_MINUTES_MS));
      await cluster.advance(20_000);
      assert.is(traffic.candidateAnswers, 0);
      assert.ok(traffic.shadowAnswers > 0);
      assert.is(getReport(getDaemon(cluster)).phase, 'quarantined');
    }),
  );
});

test(
  'a good candidate leaves the shadow phase after enough pairs and finishes',
  withShadow(async (cluster) => {
    cluster.declare({ stages: easyStages });
    cluster.addDaemons(9, DATA_CENTRES);
    const traffic = startTraffic(cluster);
    await cluster.advance(15_000);
    assert.is(traffic.candidateAnswers, 0);
    assert.is(getReport(getDaemon(cluster)).sharePct, 0);
    assert.ok(getReport(getDaemon(cluster)).reason.startsWith('shadow phase'));
    const isFinished = (): boolean =>
      cluster.daemons.every((daemon) => getReport(daemon).phase === 'finished');
    assert.ok(await cluster.advanceUntil(isFinished, 4 * FIVE_MINUTES_MS));
    assert.ok(traffic.shadowAnswers >= rolloutSettings.minShadowPairs);
  }),
);

test(
  'pairs are kept when the holder dies, and when gossip is duplicated, late or lost',
  withShadow(async (cluster) => {
    // Guards against pairs that are lost with the lease holder or counted twice when gossip is
    // duplicated, so that the roll-out never leaves the shadow phase or leaves it too early.
    Object.assign(cluster.faults, { loss: 0.3, duplication: 0.3, delayMs: 3_000 });
    const holder = await startWithLeaseHolder(cluster);
    const traffic = startTraffic(cluster);
    const countPairs = (daemon: TestDaemon): number =>
      Number(/(\d+) pairs/.exec(getReport(daemon).reason)?.[1] ?? 0);
    const hasPairs = (): boolean => countPairs(getDaemon(cluster, 1)) >= 30;
    assert.ok(await cluster.advanceUntil(hasPairs, FIVE_MINUTES_MS));
    cluster.kill(holder);
    const hasCandidateAnswers = (): boolean => traffic.candidateAnswers > 0;
    cluster.daemons.forEach((daemon) =>
      assert.ok(
        countPairs(daemon) <= traffic.shadowAnswers,
        'more pairs counted than shadow answers given',
      ),
    );
    assert.ok(await cluster.advanceUntil(hasCandidateAnswers, FIVE_MINUTES_MS));
    assert.ok(traffic.shadowAnswers >= rolloutSettings.minShadowPairs);
  }),
);

test(
  'shadows only idempotent requests, and none while the rater is down',
  withShadow(async (cluster) => {
    // Guards against running a non-idempotent request on two versions, and against shadow runs that
    // nobody can rate during a rater outage.
    const holder = await startWithLeaseHolder(cluster);
    await cluster.advance(10_000);
    const countShadows = (isIdempotent: boolean): number =>
      Array.from({ length: 200 }, () =>
        holder.system.assigner.assign('small', {
          isStrict: false,
          allowsExploration: true,
          allowsCascade: true,
          isSession: false,
          isIdempotent,
        }),
      ).filter((assignment) => assignment?.shadowVersion !== undefined).length;
    assert.ok(countShadows(true) > 0);
    assert.is(countShadows(false), 0);
    cluster.rater.setDown(true);
    startTraffic(cluster);
    await cluster.advanceUntil(() => !holder.system.evidence.isRaterUp(), 60_000);
    assert.is(countShadows(true), 0);
  }),
);

test.run();

import { install } from '@sinonjs/fake-timers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { asId, type TeamId, type VersionId } from '@snipehaven/common';
import {
  createEmptyCounts,
  EPOCH_MS,
  getEpoch,
  sumBins,
  type EvidenceKey,
  type OutcomeCounts,
} from '@snipehaven/policy';
import { MAX_CONSECUTIVE_RATER_FAILURES } from './constants.js';
import { EvidenceCells } from './evidence/evidenceCells.js';
import { decodeShare, encodeShare } from './evidence/shareCodec.js';
import { ExposureAccount } from './rollout/exposureAccount.js';
import {
  createClusterTest,
  STABLE,
  type TestCluster,
  type TestDaemon,
} from './testing/testCluster.js';
import { Traffic } from './testing/traffic.js';
import type { EvidenceSubject } from './types.js';

const withCluster = createClusterTest(install);

const DATA_CENTRES = ['x', 'y', 'z'];
const BIG = 'big@1';
const noPrior = { quality: 0.5, weight: 0 };
const sample = { prompt: 'prompt', answer: 'answer' };

const getSubject = (version: string, team = 'a'): EvidenceSubject => ({
  team,
  task: 't',
  version: asId<VersionId>(version),
  isEscalated: false,
});

const getKey = (version: string, team = 'a'): EvidenceKey => ({
  team: asId<TeamId>(team),
  task: 't',
  version: asId<VersionId>(version),
  position: 'direct',
});

const getCounts = ({ system }: TestDaemon, version: string, team = 'a'): OutcomeCounts =>
  system.evidence.cells.getTotalCounts(getKey(version, team)) ?? createEmptyCounts();

const countRatings = (daemon: TestDaemon, version: string): number =>
  sumBins(getCounts(daemon, version).scoreCounts);

const recordRatings = ({ system }: TestDaemon, version: string, score: number, count = 1): void => {
  for (let index = 0; index < count; index += 1) {
    system.evidence.recordScore(getSubject(version), score);
  }
};

const submit = ({ system }: TestDaemon, requestId: string): void =>
  system.evidence.submitSample(getSubject(BIG), { requestId, ...sample });

const getDaemon = (cluster: TestCluster, index: number): TestDaemon =>
  cluster.daemons[index] as TestDaemon;

test(
  'evidence converges although gossip is lost, duplicated and reordered',
  withCluster(async (cluster) => {
    // Guards against evidence that differs between daemons or is overcounted, which happens if
    // counts are added on receipt while payloads are lost, duplicated or reordered.
    cluster.addDaemons(9, DATA_CENTRES);
    Object.assign(cluster.faults, { loss: 0.3, duplication: 0.5, delayMs: 4_000 });
    cluster.daemons.forEach((daemon, index) => recordRatings(daemon, BIG, 0.9, index + 1));
    await cluster.advance(20_000);
    cluster.daemons.forEach((daemon) => recordRatings(daemon, BIG, 0.3, 2));
    const total = 45 + 18;
    const isEqual = (): boolean =>
      cluster.daemons.every((daemon) => countRatings(daemon, BIG) === total);
    assert.ok(await cluster.advanceUntil(isEqual, 300_000));
    await cluster.advance(60_000);
    assert.ok(isEqual());
  }),
);

test(
  'each score is counted once although new pollers reread scores',
  withCluster(async (cluster) => {
    // Guards against counting scores repeatedly when a poller dies and its successor rereads scores
    // from slightly before its position.
    cluster.addDaemons(6, ['x']);
    const submitter = getDaemon(cluster, 5);
    for (let round = 0; round < 5; round += 1) {
      for (let index = 0; index < 10; index += 1) {
        submit(submitter, `r${round}-${index}`);
      }
      await cluster.advance(8_000);
      const others = cluster.daemons.filter((daemon) => daemon !== submitter);
      if (round < 4) {
        cluster.kill(others[0] as TestDaemon);
      }
    }
    await cluster.advance(20_000);
    assert.is(cluster.rater.publishedCount, 50);
    assert.is(countRatings(submitter, BIG), 50);
  }),
);

test(
  'an answer rated inline is not submitted to the rater again',
  withCluster(async (cluster) => {
    cluster.addDaemons(2, ['x']);
    const { evidence } = getDaemon(cluster, 0).system;
    const subject = getSubject(BIG);
    const score = await evidence.rateNow(subject, { requestId: 'r', ...sample }, 1_000);
    evidence.recordScore(subject, score);
    evidence.submitSample(subject, { requestId: 'r', ...sample });
    await cluster.advance(10_000);
    assert.is(cluster.rater.publishedCount, 0);
    assert.is(countRatings(getDaemon(cluster, 0), BIG), 1);
  }),
);

test(
  'detects that the rater is down, drops samples, and detects its recovery',
  withCluster(async (cluster) => {
    // Guards against requests that wait for an unavailable rater, and against answers that fill up
    // the memory, in a long outage that each request would have to detect by itself.
    cluster.addDaemons(2, ['x']);
    cluster.rater.setDown(true);
    const ask = async ({ system }: TestDaemon): Promise<unknown> =>
      system.evidence
        .rateNow(getSubject(BIG), { requestId: 'r', ...sample }, 100)
        .catch((error: unknown) => error);
    const errors = await Promise.all(
      Array.from({ length: MAX_CONSECUTIVE_RATER_FAILURES }).flatMap(() =>
        cluster.daemons.map(ask),
      ),
    );
    assert.ok(errors.every((error) => error instanceof Error));
    assert.not(cluster.daemons.some(({ system }) => system.evidence.isRaterUp()));
    const daemon = getDaemon(cluster, 0);
    for (let index = 0; index < 1_000; index += 1) {
      submit(daemon, `r${index}`);
    }
    assert.is(daemon.system.evidence.getCounters().droppedSamples, 1_000);
    cluster.rater.setDown(false);
    await cluster.advance(10_000);
    assert.ok(cluster.daemons.every(({ system }) => system.evidence.isRaterUp()));
  }),
);

test(
  'pools evidence over daemons, at most a second old',
  withCluster(async (cluster) => {
    cluster.addDaemons(3, ['x']);
    const { evidence } = getDaemon(cluster, 0).system;
    assert.is(evidence.getEvidence(getSubject(BIG), noPrior).weight, 0);
    recordRatings(getDaemon(cluster, 1), BIG, 0.9, 30);
    await cluster.advance(10_000);
    const pooled = evidence.getEvidence(getSubject(BIG), noPrior);
    assert.is(pooled.ownWeight, 30);
    assert.ok(Math.abs(pooled.mean - 0.925) < 1e-9);
    const otherTeam = evidence.getEvidence(getSubject(BIG, 'b'), noPrior);
    assert.is(otherTeam.ownWeight, 0);
    assert.is(otherTeam.weight, 30);
  }),
);

test(
  'a version with good ratings that becomes grossly bad starts a new era and is quarantined',
  withCluster(async (cluster) => {
    // Guards against a large amount of old good ratings that outweighs recent bad ones for hours.
    cluster.addDaemons(6, DATA_CENTRES);
    recordRatings(getDaemon(cluster, 0), BIG, 0.9, 500);
    await cluster.advance(1_300_000);
    cluster.daemons.forEach((daemon) => recordRatings(daemon, BIG, 0.1, 8));
    const isBlocked = (): boolean =>
      cluster.daemons.every(({ safeMoves }) => safeMoves.isActive('quarantine', BIG));
    assert.ok(await cluster.advanceUntil(isBlocked, 60_000));
    const isNewEra = (): boolean =>
      cluster.daemons.every((daemon) => countRatings(daemon, BIG) < 48);
    assert.ok(await cluster.advanceUntil(isNewEra, 60_000));
  }),
);

test(
  'a faulty rater resets evidence but does not quarantine all versions',
  withCluster(async (cluster) => {
    // Guards against quarantining all versions when a faulty rater scores every answer low.
    cluster.addDaemons(3, ['x']);
    const versions = [STABLE, BIG];
    versions.forEach((version) => recordRatings(getDaemon(cluster, 0), version, 0.9, 500));
    await cluster.advance(1_300_000);
    for (let round = 0; round < 10; round += 1) {
      versions.forEach((version) => recordRatings(getDaemon(cluster, round % 3), version, 0.1, 10));
      await cluster.advance(5_000);
    }
    const { safeMoves } = getDaemon(cluster, 0);
    assert.is(versions.filter((version) => safeMoves.isActive('quarantine', version)).length, 1);
  }),
);

test('daemon shares are aggregated once and not counted again', () => {
  // Guards against double counting after an epoch was folded into the aggregate, when a peer sends
  // the original shares again.
  const clock = install({ now: 1_700_000_000_000 });
  const cells = new EvidenceCells({ incarnation: 'x0', dataCentre: 'x' });
  const counts = { ...createEmptyCounts(), answerCount: 7 };
  const share = { source: 'x1', epoch: getEpoch(Date.now()), era: 0, counts };
  cells.merge({ key: getKey(BIG), share });
  cells.recordOutcome(getKey(BIG), { type: 'ended', end: 'cut', isSlow: false });
  for (let epoch = 0; epoch < 4; epoch += 1) {
    clock.tick(EPOCH_MS);
    cells.compact();
    cells.merge({ key: getKey(BIG), share });
    assert.is(cells.getTotalCounts(getKey(BIG))?.answerCount, 8);
    assert.is(cells.getTotalCounts(getKey(BIG))?.cutCount, 1);
  }
  clock.uninstall();
});

test('a share survives encoding and decoding, and a malformed one is rejected', () => {
  const counts = { ...createEmptyCounts(), answerCount: 12, slowCount: 3 };
  const share = { source: 'x1', epoch: 5, era: 2, counts };
  assert.equal(decodeShare(encodeShare('a|t|big@1|d', share)), share);
  assert.is(decodeShare(['a|t|big@1|d', 'x1', 5, 2, [99, 1]]), undefined);
  assert.is(decodeShare(['a|t|big@1|d', 'x1', 5, 2, [3]]), undefined);
});

test('an assignment reserves its part of the grant until its answers have ended', () => {
  // Guards against exceeding the grant when requests arrive faster than answers end, since answers
  // are counted when they end.
  const account = new ExposureAccount();
  account.reserve({ requestId: 'a', isSession: false, answers: 1 });
  account.reserve({ requestId: 'b', isSession: true, answers: 3 });
  assert.is(account.getChargedCount(), 4);
  account.recordEnding(false);
  account.release('a');
  assert.is(account.getChargedCount(), 4);
  account.recordEnding(true);
  account.release('b');
  assert.is(account.getChargedCount(), 4);
  assert.is(account.judgedCount, 1);
  account.recordScore();
  account.recordScore();
  assert.is(account.judgedCount, 2);
});

test(
  'gossip stays within its byte budget with many cells',
  withCluster(async (cluster) => {
    cluster.addDaemons(9, DATA_CENTRES);
    const traffic = new Traffic(cluster, { requestsPerSecond: 45, teams: 10, tasks: 4 });
    cluster.onStep((stepMs) => traffic.step(stepMs));
    await cluster.advance(60_000);
    const bytesPerSecond = [...cluster.gossipBytes.values()].map((bytes) => bytes / 60);
    assert.ok(Math.max(...bytesPerSecond) < 4_000, `${Math.max(...bytesPerSecond)}`);
  }),
);

test.run();

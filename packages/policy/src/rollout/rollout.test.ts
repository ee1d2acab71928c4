/** Grants, assignments and state transitions of roll-outs. */
import { asId, createRandom, type IncarnationId } from '@snipehaven/common';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { assignRollout } from './assignRollout.js';
import { defaultRolloutSettings } from './constants.js';
import { foldPairShares, mergePairShares, PAIR_BIN_COUNT } from './pairCounts.js';
import { getExposureLimit, planGrants } from './planGrants.js';
import { joinProgress, resumeProgress, startProgress } from './progress.js';
import { createDefinition } from './testHelpers.js';
import type { AssignmentInput, DaemonExposure, RolloutProgress } from './types.js';

const SEED = 20261202;
const definition = createDefinition();
const settings = { ...defaultRolloutSettings, shadowSharePct: 0 };
const running = startProgress(definition, 1, 0, settings);

const daemonArbitrary = fc
  .record({
    isLive: fc.boolean(),
    grantedCount: fc.nat(30),
    exposedPart: fc.nat(30),
    judgedPart: fc.nat(30),
  })
  .map(({ isLive, grantedCount, exposedPart, judgedPart }) => {
    const exposedCount = Math.min(grantedCount, exposedPart);
    return { isLive, grantedCount, exposedCount, judgedCount: Math.min(exposedCount, judgedPart) };
  });

const toDaemons = (
  list: readonly Omit<DaemonExposure, 'incarnation'>[],
): readonly DaemonExposure[] =>
  list.map((daemon, index) => ({ ...daemon, incarnation: asId<IncarnationId>(`vm${index}#1`) }));

test('granted answers without a known outcome stay within the limit for any number of daemons', () => {
  fc.assert(
    fc.property(fc.array(daemonArbitrary, { maxLength: 400 }), fc.nat(500), (list, ratingCount) => {
      const daemons = toDaemons(list);
      const grants = planGrants({ definition, progress: running, daemons, ratingCount, settings });
      const getUnjudged = (daemon: DaemonExposure): number =>
        (grants.find(({ incarnation }) => incarnation === daemon.incarnation)?.grantedCount ??
          daemon.grantedCount) - daemon.judgedCount;
      const before = daemons.reduce((sum, d) => sum + d.grantedCount - d.judgedCount, 0);
      const after = daemons.reduce((sum, daemon) => sum + getUnjudged(daemon), 0);
      const limit = getExposureLimit(definition, ratingCount, settings);
      assert.ok(after <= Math.max(before, limit));
    }),
    { seed: SEED },
  );
});

const createInput = (changes: Partial<AssignmentInput>): AssignmentInput => ({
  definition,
  progress: running,
  exposedCount: 0,
  expectedAnswers: 1,
  isIdempotent: true,
  audience: { isStrict: false, allowsExploration: true, allowsCascade: true },
  isRaterUp: true,
  random: createRandom(1),
  settings,
  ...changes,
});

const grant = {
  rolloutId: definition.rolloutId,
  incarnation: asId<IncarnationId>('vm0#1'),
  fence: 1,
  grantedCount: 3,
  sharePct: 100,
};

test('a daemon without a grant, or with an exhausted one, exposes nothing', () => {
  assert.is(assignRollout(createInput({})).reason, 'noGrant');
  assert.is(assignRollout(createInput({ grant })).reason, 'assigned');
  assert.is(assignRollout(createInput({ grant, exposedCount: 3 })).reason, 'grantUsedUp');
  assert.is(assignRollout(createInput({ grant, expectedAnswers: 4 })).reason, 'grantUsedUp');
});

test('strict teams and teams with a high exposure weight only take part in the last stage', () => {
  const audience = { isStrict: true, allowsExploration: true, allowsCascade: true };
  const heavy = { ...audience, isStrict: false, exposureWeight: 1 };
  assert.is(assignRollout(createInput({ grant, audience: heavy })).reason, 'audience');
  assert.is(assignRollout(createInput({ grant, audience })).reason, 'audience');
  const progress = { ...running, stage: 2 };
  assert.is(assignRollout(createInput({ grant, audience, progress })).reason, 'assigned');
});

test('in the shadow phase the candidate answers no caller and only runs idempotent requests', () => {
  const shadowed = { ...settings, shadowSharePct: 100 };
  const progress = startProgress(definition, 1, 0, shadowed);
  const assignment = assignRollout(createInput({ progress, settings: shadowed }));
  assert.is(assignment.version, definition.stableVersion);
  assert.is(assignment.shadowVersion, definition.candidateVersion);
  const other = assignRollout(createInput({ progress, settings: shadowed, isIdempotent: false }));
  assert.is(other.shadowVersion, undefined);
});

const progressArbitrary = fc.record({
  rolloutId: fc.constant(definition.rolloutId),
  phase: fc.constantFrom('shadow', 'running', 'quarantined', 'finished'),
  stage: fc.nat(2),
  stageStartedAtMs: fc.nat(3),
  ratingsAtStageStart: fc.nat(3),
  fence: fc.nat(3),
}) as fc.Arbitrary<RolloutProgress>;

test('merging states is commutative, associative and idempotent, and keeps a quarantine', () => {
  fc.assert(
    fc.property(progressArbitrary, progressArbitrary, progressArbitrary, (a, b, c) => {
      assert.equal(joinProgress(a, b), joinProgress(b, a));
      assert.equal(joinProgress(joinProgress(a, b), c), joinProgress(a, joinProgress(b, c)));
      assert.equal(joinProgress(a, a), a);
      const hasQuarantine = a.phase === 'quarantined' || b.phase === 'quarantined';
      assert.is(joinProgress(a, b).phase === 'quarantined', hasQuarantine);
    }),
    { seed: SEED },
  );
});

test('a roll-out resumes under the next fence, and a previous holder cannot write', () => {
  // Guards against a stage that advances twice or regresses: the holder pauses, the next one takes
  // the lease and advances, and the first one resumes and writes without a check of its fence.
  const next = { ...running, stage: 1, fence: 5 };
  assert.is(resumeProgress(next, 4), undefined);
  assert.equal(resumeProgress(next, 6), { ...next, fence: 6 });
});

const sharesArbitrary = fc.array(
  fc.record({
    source: fc.constantFrom('a', 'b', 'c'),
    counts: fc.array(fc.nat(9), { minLength: PAIR_BIN_COUNT, maxLength: PAIR_BIN_COUNT }),
  }),
  { maxLength: 4 },
);

test('pair counts merge in any order and any number of times', () => {
  fc.assert(
    fc.property(sharesArbitrary, sharesArbitrary, (a, b) => {
      const merged = mergePairShares(a, b);
      assert.equal(merged, mergePairShares(b, a));
      assert.equal(foldPairShares(mergePairShares(merged, b)), foldPairShares(merged));
    }),
    { seed: SEED },
  );
});

test.run();

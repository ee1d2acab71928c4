/** Plans of single requests. */
import { asId, createRandom, type VersionId } from '@snipehaven/common';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { emptyBins, getScoreBin, noEvidence, poolEvidence } from '../evidence/index.js';
import { planRequest } from './planRequest.js';
import type { PlanInput, VersionCandidate } from './types.js';

const createEvidence = (goodShare: number, count: number) => {
  const bins = emptyBins();
  bins[getScoreBin(0.95)] = count * goodShare;
  bins[getScoreBin(0.25)] = count * (1 - goodShare);
  return poolEvidence({ ownScores: bins, taskScores: bins, versionScores: bins });
};

const createCandidate = (
  name: string,
  priceFactor: number,
  goodShare: number,
  count: number,
): VersionCandidate => ({
  version: asId<VersionId>(`${name}@1`),
  inputMicroUsdPerMillionTokens: 100_000 * priceFactor,
  outputMicroUsdPerMillionTokens: 400_000 * priceFactor,
  evidence: createEvidence(goodShare, count),
  firstTokenMs: 200,
  msPerToken: 10,
});

const cheap = createCandidate('cheap', 1, 0.7, 1_000);
const middle = createCandidate('middle', 5, 0.9, 1_000);
const expensive = createCandidate('dear', 25, 0.99, 1_000);

const createInput = (changes: Partial<PlanInput> = {}): PlanInput => ({
  task: 'triage',
  team: {
    qualityTarget: 0.8,
    isStrict: false,
    allowsCascade: true,
    allowsExploration: true,
    weights: { cost: 1, latency: 0, exposure: 0 },
  },
  candidates: [cheap, middle, expensive],
  promptTokens: 2_000,
  expectedCompletionTokens: 300,
  ratingCostMicroUsd: 30,
  ratingMs: 300,
  remainingMs: 60_000,
  isRaterUp: true,
  random: createRandom(1),
  ...changes,
});

const withTeam = (changes: Partial<PlanInput['team']>): PlanInput => {
  const input = createInput();
  return { ...input, team: { ...input.team, ...changes } };
};

test('a cascade is chosen where it costs less than the cheapest sufficient version', () => {
  const plan = planRequest(createInput());
  assert.is(plan.reason, 'cascade');
  assert.is(plan.steps[0]?.version, cheap.version);
});

test('no cascade without the rater, without permission, or without time for both answers', () => {
  const inputs = [
    createInput({ isRaterUp: false }),
    withTeam({ allowsCascade: false }),
    createInput({ remainingMs: 4_000 }),
  ];
  inputs.forEach((input) => {
    const plan = planRequest(input);
    assert.is(plan.reason, 'direct');
    assert.equal(plan.steps, [{ version: middle.version }]);
  });
});

test('without any evidence the most expensive version answers', () => {
  const candidates = [cheap, middle, expensive].map((candidate) => ({
    ...candidate,
    evidence: noEvidence,
  }));
  const plan = planRequest(createInput({ candidates }));
  assert.is(plan.reason, 'noEvidence');
  assert.equal(plan.steps, [{ version: expensive.version }]);
});

test('the best version answers when the target cannot be reached', () => {
  const plan = planRequest(withTeam({ qualityTarget: 0.99 }));
  assert.is(plan.reason, 'bestAvailable');
  assert.is(plan.steps[plan.steps.length - 1]?.version, expensive.version);
});

test('a session keeps its version', () => {
  const candidates = [cheap, { ...middle, isPinned: true }, expensive];
  assert.equal(planRequest(createInput({ candidates })).steps, [{ version: middle.version }]);
});

test('without candidates the plan has no steps', () => {
  assert.equal(planRequest(createInput({ candidates: [] })).steps, []);
});

test('unproven versions only answer in the shadow, and only if the team allows it', () => {
  const candidates = [{ ...cheap, evidence: noEvidence }, expensive];
  const random = createRandom(5);
  const listShadows = (changes: Partial<PlanInput>): readonly VersionId[] =>
    Array.from({ length: 200 }).flatMap(() => {
      const plan = planRequest(createInput({ candidates, random, isIdempotent: true, ...changes }));
      assert.equal(plan.steps, [{ version: expensive.version }]);
      return plan.shadowVersion ?? [];
    });
  assert.ok(listShadows({}).length > 10);
  assert.is(listShadows({ isIdempotent: false }).length, 0);
  assert.is(listShadows({ team: withTeam({ allowsExploration: false }).team }).length, 0);
});

test('a plan only uses candidates, its last step is unconditional, and it meets the target or says that it does not', () => {
  const shareArbitrary = fc.double({ min: 0, max: 1, noNaN: true });
  fc.assert(
    fc.property(
      fc.array(shareArbitrary, { minLength: 1, maxLength: 5 }),
      shareArbitrary,
      (shares, qualityTarget) => {
        const candidates = shares.map((share, index) =>
          createCandidate(`v${index}`, index + 1, share, 300),
        );
        const plan = planRequest({ ...withTeam({ qualityTarget }), candidates });
        const known = new Set(candidates.map(({ version }) => version));
        assert.ok(plan.steps.every(({ version }) => known.has(version)));
        assert.is(plan.steps[plan.steps.length - 1]?.acceptAboveScore, undefined);
        assert.ok(plan.reason === 'bestAvailable' || plan.qualityLowerBound >= qualityTarget);
      },
    ),
    { seed: 20261202 },
  );
});

test.run();

import { asId, createRandom, setInvariantsFatal, type VersionId } from '@snipehaven/common';
import { addPrior, noEvidence, type PriorQuality } from '@snipehaven/policy';
import type { ModelAssignment } from '@snipehaven/rollouts';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { RoutingDependencies } from './dependencies.js';
import { LatencyTracker } from './latencyTracker.js';
import { matchesRequestedModel, planChat, type ChatPlan } from './planChat.js';
import type { SessionState } from './sessionResolver.js';
import { createTeam, createVersion, createView } from './testSupport/resources.js';
import type { ChatRequest } from './types.js';

setInvariantsFatal(true);

const test = suite('planChat');

/** The inputs of planning that a test changes. */
interface PlanScenario {
  readonly model?: string;
  readonly team?: object;
  readonly session?: SessionState;
  readonly excluded?: readonly string[];
  readonly blocked?: readonly string[];
  /** Versions that no upstream serves. */
  readonly unserved?: readonly string[];
  readonly assignment?: ModelAssignment;
  readonly options?: Partial<ChatRequest['options']>;
}

const DEADLINE_MS = 60_000;

const versions = [
  createVersion('small@1', 1, 0.7),
  createVersion('small@2', 1.2, 0.9),
  createVersion('large@1', 10, 0.95),
  createVersion('secret@1', 0.1, 0.99),
];

const createDependencies = (scenario: PlanScenario): RoutingDependencies =>
  ({
    configuration: { getView: () => createView(versions) },
    safeMoves: {
      isVersionBlocked: (version: string) => scenario.blocked?.includes(version) === true,
    },
    registry: {
      hasVersion: (version: string) => scenario.unserved?.includes(version) !== true,
    },
    assigner: { assign: () => scenario.assignment },
    evidence: {
      isRaterUp: () => false,
      getEvidence: (_subject: unknown, prior: PriorQuality) => addPrior(noEvidence, prior),
    },
    latency: new LatencyTracker(),
    random: createRandom(1),
    settings: {},
  }) as unknown as RoutingDependencies;

const plan = (scenario: PlanScenario): ChatPlan => {
  const request = {
    requestId: 'r1',
    identity: { team: createTeam(scenario.team), keyName: 'main' },
    body: { model: scenario.model ?? 'auto', messages: [{ role: 'user', content: 'text' }] },
    options: {
      task: 'default',
      priority: 5,
      deadlineAtMs: Date.now() + DEADLINE_MS,
      isIdempotent: true,
      ...scenario.options,
    },
  } as unknown as ChatRequest;
  const session = scenario.session ?? { kind: 'new' };
  const excluded = (scenario.excluded ?? []).map((version) => asId<VersionId>(version));
  return planChat({ request, session, promptText: 'text', excluded }, createDependencies(scenario));
};

const listVersions = (scenario: PlanScenario): readonly string[] =>
  plan(scenario).steps.map(({ version }) => version);

const toPinned = (version: string): SessionState => ({
  kind: 'pinned',
  pin: {
    version: asId<VersionId>(version),
    teamUid: 'uid-alpha',
    session: 's1',
    model: 'small',
    startedAtMs: 0,
    generation: 0,
  },
});

/** Without cascades and exploration the plan does not depend on random numbers. */
const deterministic = { allowsExploration: false, allowsCascade: false };

test('uses only versions that are allowed, served and not withdrawn', () => {
  // The cheapest version belongs to another team, the others are withdrawn, not served or already
  // tried. A request must not run on such a version just because a filter would leave no other.
  const team = { ...deterministic, qualityTarget: 0.5 };
  const cases: readonly (readonly [PlanScenario, readonly string[]])[] = [
    [{}, ['small@1']],
    [{ blocked: ['small@1'] }, ['small@2']],
    [{ unserved: ['small@1'], excluded: ['small@2'] }, ['large@1']],
    [{ blocked: ['small@1', 'small@2', 'large@1'] }, []],
    [{ model: 'small', blocked: ['small@1', 'small@2'] }, []],
    [{ model: 'small@2' }, ['small@2']],
    [{ model: 'small@2', blocked: ['small@2'] }, []],
    [{ model: 'secret' }, []],
    [{ team: { allowedVersions: ['large@1'] } }, ['large@1']],
  ];
  cases.forEach(([situation, expected]) => {
    const withTeam = { ...situation, team: { ...team, ...situation.team } };
    assert.equal(listVersions(withTeam), expected, JSON.stringify(situation));
  });
});

test('chooses the cheapest version that meets the quality target', () => {
  assert.equal(listVersions({ team: { ...deterministic, qualityTarget: 0.8 } }), ['small@2']);
  assert.equal(listVersions({ team: { ...deterministic, qualityTarget: 0.92 } }), ['large@1']);
});

test('plans only the pinned version for a session, or nothing', () => {
  const team = { ...deterministic, qualityTarget: 0.9 };
  assert.equal(listVersions({ team, session: toPinned('small@1') }), ['small@1']);
  assert.equal(listVersions({ session: toPinned('small@1'), unserved: ['small@1'] }), []);
});

test('excludes versions hidden by a roll-out unless the caller names them', () => {
  const assignment: ModelAssignment = {
    version: asId<VersionId>('small@1'),
    hidden: [asId<VersionId>('small@2')],
    isCandidate: false,
    isGated: false,
    stableVersion: asId<VersionId>('small@1'),
    candidateVersion: asId<VersionId>('small@2'),
  };
  const team = { ...deterministic, qualityTarget: 0.8 };
  assert.not.ok(listVersions({ team, assignment, model: 'small' }).includes('small@2'));
  assert.equal(listVersions({ team, assignment, model: 'small@2' }), ['small@2']);
});

test('pairs a shadow with the stable version only if that answers first', () => {
  // A good candidate looks worse than the stable version if the two are not compared on the same
  // prompt: another version answers, or the caller names one, and the candidate runs beside it.
  const stableVersion = asId<VersionId>('small@1');
  const candidateVersion = asId<VersionId>('small@2');
  const assignment: ModelAssignment = {
    version: stableVersion,
    hidden: [candidateVersion],
    isCandidate: false,
    isGated: false,
    stableVersion,
    candidateVersion,
    shadowVersion: candidateVersion,
  };
  const findPaired = (scenario: PlanScenario): string | undefined =>
    plan({ ...scenario, assignment }).pair?.candidateVersion;
  const team = { ...deterministic, qualityTarget: 0.5 };
  assert.is(findPaired({ team }), candidateVersion);
  assert.is(findPaired({ team: { ...deterministic, qualityTarget: 0.92 } }), undefined);
  assert.is(findPaired({ team, model: 'small@1' }), undefined);
  assert.is(findPaired({ team, session: toPinned('small@1') }), undefined);
  assert.is(plan({ team }).pair, undefined);
});

test('plans a single run for requests that may run only once', () => {
  // The team allows cascades, but a cascade is a second run, which a request that must not be
  // repeated does not permit.
  const options = { isIdempotent: false };
  assert.is(listVersions({ options }).length, 1);
  assert.is(listVersions({ options: { callerSession: 's' } }).length, 1);
});

test('matches a model by its full name', () => {
  const version = asId<VersionId>('small@1');
  const requestedModels = ['auto', 'small', 'small@1', 'smal', 'small@', 'small@11', ''];
  assert.equal(
    requestedModels.filter((model) => matchesRequestedModel(model, version)),
    ['auto', 'small', 'small@1'],
  );
});

test.run();

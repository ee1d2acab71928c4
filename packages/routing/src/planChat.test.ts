import { asId, createRandom, setInvariantsFatal, type VersionId } from '@snipehaven/common';
import { addPrior, noEvidence, type PriorQuality } from '@snipehaven/policy';
import type { ModelAssignment } from '@snipehaven/rollouts';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { RoutingDependencies } from './dependencies.js';
import { LatencyBook } from './latencyBook.js';
import { matchesWish, planChat, type ChatPlan } from './planChat.js';
import type { SessionState } from './sessionResolver.js';
import { createTeam, createVersion, createView } from './testSupport/resources.js';
import type { ChatRequest } from './types.js';

setInvariantsFatal(true);

const test = suite('planChat');

/** What a test changes of the world in which a request is planned. */
interface Situation {
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

const createDependencies = (situation: Situation): RoutingDependencies =>
  ({
    configuration: { getView: () => createView(versions) },
    safeMoves: {
      isVersionBlocked: (version: string) => situation.blocked?.includes(version) === true,
    },
    registry: {
      hasVersion: (version: string) => situation.unserved?.includes(version) !== true,
    },
    assigner: { assign: () => situation.assignment },
    evidence: {
      isRaterUp: () => false,
      getEvidence: (_subject: unknown, prior: PriorQuality) => addPrior(noEvidence, prior),
    },
    latency: new LatencyBook(),
    random: createRandom(1),
    settings: {},
  }) as unknown as RoutingDependencies;

const plan = (situation: Situation): ChatPlan => {
  const request = {
    requestId: 'r1',
    identity: { team: createTeam(situation.team), keyName: 'main' },
    body: { model: situation.model ?? 'auto', messages: [{ role: 'user', content: 'text' }] },
    options: {
      task: 'default',
      priority: 5,
      deadlineAtMs: Date.now() + DEADLINE_MS,
      isIdempotent: true,
      ...situation.options,
    },
  } as unknown as ChatRequest;
  const session = situation.session ?? { kind: 'new' };
  const excluded = (situation.excluded ?? []).map((version) => asId<VersionId>(version));
  return planChat(
    { request, session, promptText: 'text', excluded },
    createDependencies(situation),
  );
};

const listVersions = (situation: Situation): readonly string[] =>
  plan(situation).steps.map(({ version }) => version);

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

/** No cascade and no exploration: the plan depends on nothing random. */
const plain = { allowsExploration: false, allowsCascade: false };

test('uses only what the team may use and nobody has stopped', () => {
  // Symptom: a team's request runs on a version that it may not use, or on a withdrawn one.
  // Sequence: the cheapest version is another team's; others are withdrawn, not served or were tried.
  // Cause: one of the filters is left out where it would leave nothing else.
  const team = { ...plain, qualityTarget: 0.5 };
  const cases: readonly (readonly [Situation, readonly string[]])[] = [
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

test('takes the cheapest version that meets the target', () => {
  assert.equal(listVersions({ team: { ...plain, qualityTarget: 0.8 } }), ['small@2']);
  assert.equal(listVersions({ team: { ...plain, qualityTarget: 0.92 } }), ['large@1']);
});

test('keeps a session on its version, or plans nothing', () => {
  const team = { ...plain, qualityTarget: 0.9 };
  assert.equal(listVersions({ team, session: toPinned('small@1') }), ['small@1']);
  assert.equal(listVersions({ session: toPinned('small@1'), unserved: ['small@1'] }), []);
});

test('hides what a roll-out hides, but not from a caller that names the version', () => {
  const assignment: ModelAssignment = {
    version: asId<VersionId>('small@1'),
    hidden: [asId<VersionId>('small@2')],
    isCandidate: false,
    isGated: false,
    stableVersion: asId<VersionId>('small@1'),
    candidateVersion: asId<VersionId>('small@2'),
  };
  const team = { ...plain, qualityTarget: 0.8 };
  assert.not.ok(listVersions({ team, assignment, model: 'small' }).includes('small@2'));
  assert.equal(listVersions({ team, assignment, model: 'small@2' }), ['small@2']);
});

test('pairs a shadow with the stable version only where that answers first', () => {
  // Symptom: a good candidate looks worse than the stable version, by a difference that is none.
  // Sequence: another version answers, or a caller names one, and the candidate runs beside it.
  // Cause: a pair that is not of the two versions on the same prompt.
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
  const findPaired = (situation: Situation): string | undefined =>
    plan({ ...situation, assignment }).pair?.candidateVersion;
  const team = { ...plain, qualityTarget: 0.5 };
  assert.is(findPaired({ team }), candidateVersion);
  assert.is(findPaired({ team: { ...plain, qualityTarget: 0.92 } }), undefined);
  assert.is(findPaired({ team, model: 'small@1' }), undefined);
  assert.is(findPaired({ team, session: toPinned('small@1') }), undefined);
  assert.is(plan({ team }).pair, undefined);
});

test('plans one run only for requests that may run once', () => {
  // Symptom: a request that may not be repeated runs on two versions.
  // Sequence: its team allows cascades; a cheap version could answer first.
  // Cause: a cascade is a second run.
  const options = { isIdempotent: false };
  assert.is(listVersions({ options }).length, 1);
  assert.is(listVersions({ options: { callerSession: 's' } }).length, 1);
});

test('matches a model by its whole name', () => {
  const version = asId<VersionId>('small@1');
  const wishes = ['auto', 'small', 'small@1', 'smal', 'small@', 'small@11', ''];
  assert.equal(
    wishes.filter((wish) => matchesWish(wish, version)),
    ['auto', 'small', 'small@1'],
  );
});

test.run();

import type { CallRecord } from '@snipehaven/demo';
import type { EngineTruth } from '@snipehaven/standins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { CANDIDATE_VERSION, MAX_REACHED_CALLERS } from './constants.js';
import { judgeRollout, type RolloutFacts } from './judgeRollout.js';

const DECLARED_AT_MS = 1_000;
const QUARANTINED_AT_MS = 9_000;

const createRecord = (end: object, isIdempotent = true): CallRecord =>
  ({ item: { isIdempotent }, attempts: [{ startedAtMs: 0, end }] }) as unknown as CallRecord;

const answered = createRecord({ kind: 'answered', answer: { version: CANDIDATE_VERSION } });
const unknown = { kind: 'refused', code: 'outcomeUnknown' };

const createEngine = (streamId: string, startedMs: number): EngineTruth =>
  ({ streams: [{ streamId, startedMs, versionId: CANDIDATE_VERSION }] }) as unknown as EngineTruth;

const judge = (changes: Partial<RolloutFacts>): ReturnType<typeof judgeRollout> =>
  judgeRollout({
    kind: 'gross',
    declaredAtMs: DECLARED_AT_MS,
    quarantinedAtMs: QUARANTINED_AT_MS,
    phase: 'quarantined',
    holders: [],
    records: [answered],
    engines: [createEngine('r1', DECLARED_AT_MS), createEngine('r1.shadow.v', DECLARED_AT_MS)],
    ...changes,
  });

test('tells answers to callers from those in the shadow', () => {
  const { started, shadowed, reachedCallers, quarantinedAfterMs, hasHeld } = judge({});
  assert.equal(
    { started, shadowed, reachedCallers },
    { started: 1, shadowed: 1, reachedCallers: 1 },
  );
  assert.is(quarantinedAfterMs, QUARANTINED_AT_MS - DECLARED_AT_MS);
  assert.ok(hasHeld);
});

test('fails a roll-out that broke a promise', () => {
  // Symptom: the proof is green though callers got bad answers, or a good version was stopped.
  // Sequence: each of the ways in which a roll-out can go wrong.
  // Cause: a judge that looks at the last phase alone.
  const broken: readonly Partial<RolloutFacts>[] = [
    { phase: 'running' },
    { kind: 'good' },
    { kind: 'good', phase: 'running' },
    { records: Array.from({ length: MAX_REACHED_CALLERS + 1 }, () => answered) },
    { engines: [createEngine('r2', QUARANTINED_AT_MS + 2_000)] },
    { engines: [createEngine('r2.shadow.v', QUARANTINED_AT_MS + 2_000)] },
    { records: [createRecord({ kind: 'broken', reason: 'reset' })] },
    { records: [createRecord(unknown)] },
  ];
  broken.forEach((changes, index) => assert.not.ok(judge(changes).hasHeld, `case ${index}`));
  assert.ok(judge({ records: [createRecord(unknown, false)] }).hasHeld);
});

test.run();

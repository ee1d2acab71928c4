/** What speaks against a new version. */
import { isVersionBad } from '@snipehaven/policy';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { VersionStats, type VersionRole } from './versionStats.js';

const BASELINE_MS = 100;
const SLOW_MS = 1_060;

const createAnswer = (headMs: number, isFailed = false) => ({
  service: 's',
  softwareVersion: 'v2',
  dataCentre: 'a',
  isFailed,
  workKind: 'digest',
  headMs,
});

/** A stats after a calm minute. */
const createStats = (): VersionStats => {
  const stats = new VersionStats();
  const countMany = (role: VersionRole, count: number): void => {
    for (let index = 0; index < count; index += 1) {
      stats.count(role, createAnswer(BASELINE_MS));
    }
  };
  countMany('present', 47);
  countMany('candidate', 14);
  return stats;
};

const isBad = ({ candidate, present }: VersionStats): boolean => isVersionBad(candidate, present);

// Symptom: a good version is rolled back. Sequence: a prompt of 50,000 tokens is read at one of its
// upstreams, and three answers behind it come after a second. Cause: each of them counted like a failure.
test('answers behind one long prompt do not condemn a version', () => {
  const stats = createStats();
  for (let index = 0; index < 3; index += 1) {
    assert.ok(stats.count('candidate', createAnswer(SLOW_MS)), 'each is told');
  }
  assert.not(isBad(stats));
});

test('a version that goes on being slow, and one that fails three times, are bad', () => {
  const slow = createStats();
  for (let index = 0; index < 6; index += 1) {
    slow.count('candidate', createAnswer(SLOW_MS));
  }
  assert.ok(isBad(slow));
  const failing = createStats();
  for (let index = 0; index < 3; index += 1) {
    failing.count('candidate', createAnswer(BASELINE_MS, true));
  }
  assert.ok(isBad(failing));
});

test.run();

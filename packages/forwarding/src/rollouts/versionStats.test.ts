/** Which answers count as evidence against a new version. */
import { isVersionBad } from '@snipehaven/policy';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { VersionRole } from './types.js';
import { VersionStats } from './versionStats.js';

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

/** Counts after a minute without bad answers. */
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

// Guards against rolling back a good version: a prompt of 50,000 tokens is processed at one of its
// upstreams, and three answers queued behind it take more than a second. Each of them used to count
// like a failure.
test('slow answers behind one long prompt do not make a version bad', () => {
  const stats = createStats();
  for (let index = 0; index < 3; index += 1) {
    assert.ok(stats.count('candidate', createAnswer(SLOW_MS)), 'each counts as bad');
  }
  assert.not(isBad(stats));
});

test('a version that stays slow, and one that fails three times, are bad', () => {
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

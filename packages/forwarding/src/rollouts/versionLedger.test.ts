/** What speaks against a new version. */
import { isVersionBad } from '@snipehaven/policy';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { VersionLedger, type VersionRole } from './versionLedger.js';

const USUAL_MS = 100;
const SLOW_MS = 1_060;

const createAnswer = (headMs: number, isFailed = false) => ({
  service: 's',
  softwareVersion: 'v2',
  dataCentre: 'a',
  isFailed,
  workKind: 'digest',
  headMs,
});

/** A ledger after a calm minute. */
const createLedger = (): VersionLedger => {
  const ledger = new VersionLedger();
  const countMany = (role: VersionRole, count: number): void => {
    for (let index = 0; index < count; index += 1) {
      ledger.count(role, createAnswer(USUAL_MS));
    }
  };
  countMany('present', 47);
  countMany('candidate', 14);
  return ledger;
};

const isBad = ({ candidate, present }: VersionLedger): boolean => isVersionBad(candidate, present);

// Symptom: a good version is rolled back. Sequence: a prompt of 50,000 tokens is read at one of its
// upstreams, and three answers behind it come after a second. Cause: each of them counted like a failure.
test('answers behind one long prompt do not condemn a version', () => {
  const ledger = createLedger();
  for (let index = 0; index < 3; index += 1) {
    assert.ok(ledger.count('candidate', createAnswer(SLOW_MS)), 'each is told');
  }
  assert.not(isBad(ledger));
});

test('a version that goes on being slow, and one that fails three times, are bad', () => {
  const slow = createLedger();
  for (let index = 0; index < 6; index += 1) {
    slow.count('candidate', createAnswer(SLOW_MS));
  }
  assert.ok(isBad(slow));
  const failing = createLedger();
  for (let index = 0; index < 3; index += 1) {
    failing.count('candidate', createAnswer(USUAL_MS, true));
  }
  assert.ok(isBad(failing));
});

test.run();

/** A refusal is sent without waiting for its billing and claim records. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Claim, ClaimStore } from '@snipehaven/claims';
import { createSilentLogger } from '@snipehaven/common';
import type { UsageLedger } from '@snipehaven/ledger';
import { finalizeRefused } from './finalizeRefused.js';
import { Refusal } from './refusal.js';
import { RunTracker } from './runTracker.js';
import { UsageAccount } from './usageAccount.js';

const claim: Claim = { rowKey: 'claim/t/k', token: 'token', bodyHash: 'hash', fence: 1 };

/** A claim store whose table never answers; records its calls. */
const createUnresponsiveClaims = (calls: string[]): ClaimStore => {
  const createPendingCall = (name: string) => (): Promise<never> => {
    calls.push(name);
    return new Promise(() => {});
  };
  return {
    claim: createPendingCall('claim'),
    finish: createPendingCall('finish'),
    release: createPendingCall('release'),
    markUnknown: createPendingCall('markUnknown'),
  };
};

const finalize = (tracker: RunTracker, calls: string[]): void => {
  const account = new UsageAccount({} as UsageLedger, {
    requestId: 'r',
    requestKey: 'k',
    team: 't',
    teamUid: 'u',
  });
  finalizeRefused(
    { claims: createUnresponsiveClaims(calls), logger: createSilentLogger() },
    { refusal: new Refusal('noUpstream', 'no room', tracker), tracker, account, claim },
  );
};

/*
 * A claim is taken, no upstream has capacity and the table goes down. If the response waited for
 * the claim's row to be released, the refusal would arrive an hour late.
 */
test('returns at once though the table never answers, with the release already requested', () => {
  const calls: string[] = [];
  finalize(new RunTracker(), calls);
  assert.equal(calls, ['release']);
});

test('does not release the claim of a request that may have run', () => {
  const calls: string[] = [];
  const tracker = new RunTracker();
  tracker.startDispatch();
  finalize(tracker, calls);
  assert.equal(calls, ['markUnknown']);
});

test.run();

/** A refusal does not wait for its records to be closed. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Claim, ClaimStore } from '@snipehaven/claims';
import { createSilentLogger } from '@snipehaven/common';
import type { UsageLedger } from '@snipehaven/ledger';
import { closeRefused } from './closeRefused.js';
import { Refusal } from './refusal.js';
import { RunTracker } from './runTracker.js';
import { UsageAccount } from './usageAccount.js';

const claim: Claim = { rowKey: 'claim/t/k', token: 'token', bodyHash: 'hash', fence: 1 };

/** A store whose table never answers; notes what it is asked. */
const createSilentClaims = (asked: string[]): ClaimStore => {
  const ask = (name: string) => (): Promise<never> => {
    asked.push(name);
    return new Promise(() => {});
  };
  return {
    claim: ask('claim'),
    finish: ask('finish'),
    release: ask('release'),
    markUnknown: ask('markUnknown'),
  };
};

const close = (tracker: RunTracker, asked: string[]): void => {
  const account = new UsageAccount({} as UsageLedger, {
    requestId: 'r',
    requestKey: 'k',
    team: 't',
    teamUid: 'u',
  });
  closeRefused(
    { claims: createSilentClaims(asked), logger: createSilentLogger() },
    { refusal: new Refusal('noUpstream', 'no room', tracker), tracker, account, claim },
  );
};

/*
 * Symptom: a refusal comes an hour late, while the table is away.
 * Sequence: a claim is taken, no upstream has room, the table goes down, the claim is given back.
 * Cause: the caller's final answer waited for the claim's row.
 */
test('closing returns at once though the table never answers, and the claim is on its way', () => {
  const asked: string[] = [];
  close(new RunTracker(), asked);
  assert.equal(asked, ['release']);
});

test('a claim whose request may have run is not given back', () => {
  const asked: string[] = [];
  const tracker = new RunTracker();
  tracker.startDispatch();
  close(tracker, asked);
  assert.equal(asked, ['markUnknown']);
});

test.run();

/**
 * Whether and where a request is tried again. A second run of a request that may not be repeated
 * would double its effect, so `unknown` counts as "ran" for it; only a proved `notRun` frees it.
 */
import type { Random } from '@snipehaven/common';
import { MAX_ATTEMPTS, RETRY_JITTER_MS, SPILL_ORDER } from './constants.js';
import { hasRetryLeft, spendRetry } from './retryBudget.js';
import type { GiveUpReason, RetryDecision, RetryInput, SpillTarget } from './types.js';

/** The first open target in the order of preference. */
export const chooseSpillTarget = (openTargets: readonly SpillTarget[]): SpillTarget | undefined =>
  SPILL_ORDER.find((target) => openTargets.includes(target));

const isRepeatable = ({ verdict, isIdempotent }: RetryInput): boolean =>
  verdict === 'notRun' || isIdempotent;

const findObstacle = (input: RetryInput, afterMs: number): GiveUpReason | undefined => {
  if (input.hasAnswerStarted) {
    return 'answerStarted';
  }
  if (!isRepeatable(input)) {
    return 'mayHaveRun';
  }
  if (input.attempts >= MAX_ATTEMPTS) {
    return 'attemptsUsed';
  }
  if (afterMs + input.expectedMs > input.remainingMs) {
    return 'deadline';
  }
  return hasRetryLeft(input.budget) ? undefined : 'budgetUsed';
};

/** A wait is only of use at the upstream that asked for it; another one can be tried at once. */
const getDelayMs = (target: SpillTarget, { retryAfterMs }: RetryInput, random: Random): number =>
  target === 'sameModel' && retryAfterMs > 0 ? random.next() * RETRY_JITTER_MS : 0;

/** Decides after one failed attempt; pass the returned budget on in either case. */
export const decideRetry = (input: RetryInput, random: Random): RetryDecision => {
  const { budget } = input;
  const target = chooseSpillTarget(input.openTargets);
  if (target === undefined) {
    return { kind: 'giveUp', reason: isRepeatable(input) ? 'noTarget' : 'mayHaveRun', budget };
  }
  const afterMs = getDelayMs(target, input, random);
  const reason = findObstacle(input, afterMs);
  return reason
    ? { kind: 'giveUp', reason, budget }
    : { kind: 'retry', target, afterMs, budget: spendRetry(budget) };
};

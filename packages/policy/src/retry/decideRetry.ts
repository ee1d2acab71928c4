/**
 * Decides whether and where a request is retried. Executing a non-idempotent request twice would
 * double its effect, so for such a request `unknown` is treated like `ran`, and only a proven
 * `notRun` allows a retry.
 */
import type { Random } from '@snipehaven/common';
import { MAX_ATTEMPTS, RETRY_JITTER_MS, SPILL_ORDER } from './constants.js';
import { hasRetryLeft, spendRetry } from './retryBudget.js';
import type { GiveUpReason, RetryDecision, RetryInput, SpillTarget } from './types.js';

/** Returns the available target of the highest preference. */
export const chooseSpillTarget = (openTargets: readonly SpillTarget[]): SpillTarget | undefined =>
  SPILL_ORDER.find((target) => openTargets.includes(target));

const isRetryable = ({ verdict, isIdempotent }: RetryInput): boolean =>
  verdict === 'notRun' || isIdempotent;

const findGiveUpReason = (input: RetryInput, afterMs: number): GiveUpReason | undefined => {
  if (input.hasAnswerStarted) {
    return 'answerStarted';
  }
  if (!isRetryable(input)) {
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

/**
 * A delay is only useful at the upstream that asked for it; a different one can be tried at once.
 */
const getDelayMs = (target: SpillTarget, { retryAfterMs }: RetryInput, random: Random): number =>
  target === 'sameModel' && retryAfterMs > 0 ? random.next() * RETRY_JITTER_MS : 0;

/** Decides after a failed attempt. The returned budget replaces the previous one in either case. */
export const decideRetry = (input: RetryInput, random: Random): RetryDecision => {
  const { budget } = input;
  const target = chooseSpillTarget(input.openTargets);
  if (target === undefined) {
    return { kind: 'giveUp', reason: isRetryable(input) ? 'noTarget' : 'mayHaveRun', budget };
  }
  const afterMs = getDelayMs(target, input, random);
  const reason = findGiveUpReason(input, afterMs);
  return reason
    ? { kind: 'giveUp', reason, budget }
    : { kind: 'retry', target, afterMs, budget: spendRetry(budget) };
};

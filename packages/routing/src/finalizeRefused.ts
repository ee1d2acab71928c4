/** Finalizes the usage record and the claim of a refused request. */
import type { Claim } from '@snipehaven/claims';
import type { RoutingDependencies } from './dependencies.js';
import type { Refusal } from './refusal.js';
import type { RunTracker } from './runTracker.js';
import type { UsageAccount } from './usageAccount.js';

export interface RefusedRequest {
  readonly refusal: Refusal;
  readonly tracker: RunTracker;
  readonly account: UsageAccount;
  readonly claim: Claim | undefined;
}

const finalizeAccount = async (account: UsageAccount, hasNotRun: boolean): Promise<void> => {
  if (!account.isOpen) {
    return;
  }
  if (hasNotRun) {
    account.discard();
    return;
  }
  await account.settle(account.costMicroUsd > 0 ? 'partial' : 'unanswered');
};

const finalizeClaim = async (
  { claims }: Pick<RoutingDependencies, 'claims'>,
  claim: Claim | undefined,
  canRelease: boolean,
): Promise<void> => {
  if (claim !== undefined) {
    await (canRelease ? claims.release(claim) : claims.markUnknown(claim));
  }
};

/**
 * A request proved not to have run is not billed, and its idempotency key may be used again. Any
 * other request is billed for the part that its caller received, and a retry under its key is told
 * that the outcome is unknown. If the refusal waited for the claim's row while the table is down,
 * it could arrive an hour late. It is therefore sent first, and both records are finalized in the
 * background. Both operations start synchronously within this call, so that a shutdown finds them
 * in the memory of the ledger and of the claim store.
 */
export const finalizeRefused = (
  deps: Pick<RoutingDependencies, 'claims' | 'logger'>,
  { refusal, tracker, account, claim }: RefusedRequest,
): void => {
  const hasNotRun = tracker.getVerdict() === 'notRun';
  finalizeAccount(account, hasNotRun).catch((error: unknown) => {
    deps.logger.error({ err: error }, 'failed to settle the usage record of a refused request');
  });
  finalizeClaim(deps, claim, hasNotRun && refusal.verdict === 'notRun').catch((error: unknown) => {
    deps.logger.warn({ err: error }, 'failed to finalize the claim of a refused request');
  });
};

/** Leaves the records of a refused request as they must be: its bill and its claim. */
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

const closeAccount = async (account: UsageAccount, hasNotRun: boolean): Promise<void> => {
  if (!account.isOpen) {
    return;
  }
  if (hasNotRun) {
    account.discard();
    return;
  }
  await account.settle(account.costMicroUsd > 0 ? 'partial' : 'unanswered');
};

const closeClaim = async (
  { claims }: Pick<RoutingDependencies, 'claims'>,
  claim: Claim | undefined,
  isFree: boolean,
): Promise<void> => {
  if (claim !== undefined) {
    await (isFree ? claims.release(claim) : claims.markUnknown(claim));
  }
};

/**
 * A request that is proved not to have run costs nothing, and its key may be used again. Any other is
 * billed for what its caller was given, and a retry under its key hears that nobody knows.
 *
 * What goes wrong: the table is away, and a refusal that waits for the claim to be closed in it comes an
 * hour late. The refusal is sent first; both records are closed in the background, from this very call
 * on, so that a shutdown finds them in the ledger's and the claims' own memory.
 */
export const closeRefused = (
  deps: Pick<RoutingDependencies, 'claims' | 'logger'>,
  { refusal, tracker, account, claim }: RefusedRequest,
): void => {
  const hasNotRun = tracker.getVerdict() === 'notRun';
  closeAccount(account, hasNotRun).catch((error: unknown) => {
    deps.logger.error({ err: error }, 'settling a refused request failed');
  });
  closeClaim(deps, claim, hasNotRun && refusal.verdict === 'notRun').catch((error: unknown) => {
    deps.logger.warn({ err: error }, 'closing a claim failed');
  });
};

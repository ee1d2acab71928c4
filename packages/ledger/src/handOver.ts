/** Hands over the own records and the held replicas of a daemon that is shutting down. */
import { getErrorMessage, sleep, type Logger } from '@snipehaven/common';
import type { MembershipView } from '@snipehaven/membership';
import type { HeldRecords } from './heldRecords.js';
import type { RecordBook } from './recordBook.js';
import type { Replicator } from './replicator.js';
import type { TakenRecords } from './takenRecords.js';
import { withTimeout } from './withTimeout.js';

export interface HandOverOptions {
  readonly book: RecordBook;
  readonly held: HeldRecords;
  readonly taken: TakenRecords;
  readonly replicator: Replicator;
  readonly membership: MembershipView;
  readonly logger: Logger;
  readonly stopTimeoutMs: number;
  readonly flush: () => Promise<unknown>;
  readonly spill: () => Promise<void>;
}

const FIRST_RETRY_MS = 250;
const MAX_RETRY_MS = 2_000;

/**
 * Retries until the stop timeout, which the caller enforces. If the platform is unavailable only at the
 * first attempt, giving up would leave unflushed records that depend on the peer's VM alone.
 */
const flushAll = async (options: HandOverOptions, isOver: () => boolean): Promise<void> => {
  const { book, flush, spill } = options;
  let delayMs = FIRST_RETRY_MS;
  await flush();
  while (book.settledCount > 0 && !isOver()) {
    await spill();
    if (book.settledCount > 0) {
      await sleep(delayMs);
      delayMs = Math.min(2 * delayMs, MAX_RETRY_MS);
      await flush();
    }
  }
};

const runBounded = async (
  { logger, stopTimeoutMs }: HandOverOptions,
  name: string,
  work: Promise<void>,
): Promise<void> => {
  try {
    await withTimeout(work, stopTimeoutMs, name);
  } catch (error) {
    logger.warn({ error: getErrorMessage(error) }, 'handover of usage records did not complete');
  }
};

/** Whether another daemon is responsible: the live owner, or the peer that holds the replica. */
const isElsewhere = (options: HandOverOptions, requestId: string): boolean => {
  const { book, taken, replicator, membership } = options;
  const owner = taken.getOwner(requestId);
  if (owner === undefined) {
    return false;
  }
  const isOwnerAlive = membership.getMember(owner)?.state === 'alive';
  const isOpen = book.getRecord(requestId)?.kind === 'open';
  return isOwnerAlive || (isOpen && replicator.hasCopy(requestId));
};

/**
 * Takes all held replicas over as own records: settled ones are written, open ones are replicated to the
 * own peer, which adopts them if their owner is dead. If an owner dies and its holder stops before it
 * adopts, the replicas would otherwise be lost, and answered requests would have no bill although every
 * shutdown reported nothing left. Resolves with the number of records that are neither durable nor under
 * the responsibility of another daemon.
 */
export const handOver = async (options: HandOverOptions): Promise<number> => {
  const { book, held, taken, replicator, stopTimeoutMs } = options;
  const endsAtMs = Date.now() + stopTimeoutMs;
  held.listOwners().forEach((owner) => {
    void taken.take(owner, held.list(owner));
  });
  await Promise.all([
    runBounded(options, 'copying', replicator.replicateAll()),
    runBounded(
      options,
      'flushing',
      flushAll(options, () => Date.now() >= endsAtMs),
    ),
  ]);
  await runBounded(options, 'forgetting', replicator.tellForgotten());
  return book.listIds().filter((requestId) => !isElsewhere(options, requestId)).length;
};

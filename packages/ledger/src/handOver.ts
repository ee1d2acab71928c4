/** What a stopping daemon does with the records that it answers for and the copies that it holds. */
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
 * What goes wrong: the platform is away at the first try and back within the time to stop; records left to
 * the peer then hang on that one VM. One notices unflushed records after a short outage. Tries go on
 * until the time is over, which the caller bounds.
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
    logger.warn({ error: getErrorMessage(error) }, 'usage records were left behind');
  }
};

/** Whether another daemon answers for the record: its live owner, or the peer that has its copy. */
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
 * What goes wrong: an owner dies, and its holder stops before it adopts; the copies go with it. One
 * notices answered requests without a bill though every shutdown said that nothing was left. All copies
 * become own records: settled ones are written, open ones go to the own peer, which adopts them if
 * their owner is dead. Resolves with the count of records that neither last nor have another daemon
 * that answers for them.
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

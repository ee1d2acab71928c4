/** When a daemon flushes next, so that all daemons together stay under one rate of writes. */
import type { MembershipView } from '@snipehaven/membership';
import { ROWS_PER_BATCH } from './constants.js';
import type { FlushResult } from './ledgerFlusher.js';
import type { LedgerSettings } from './types.js';

export type FlushPaceSettings = Pick<
  LedgerSettings,
  'minFlushIntervalMs' | 'maxTableWritesPerSecond' | 'maxFlushRetryMs' | 'batchGapMs'
>;

const MS_PER_SECOND = 1_000;

export class FlushPace {
  readonly #membership: Pick<MembershipView, 'listAlive'>;

  readonly #settings: FlushPaceSettings;

  #failures = 0;

  constructor(membership: Pick<MembershipView, 'listAlive'>, settings: FlushPaceSettings) {
    this.#membership = membership;
    this.#settings = settings;
  }

  noteResult(result: FlushResult): void {
    this.#failures = result === 'failed' ? this.#failures + 1 : 0;
  }

  /** Mean time to the next flush; a full batch left over waits for a short gap at most. */
  getDelayMs(hasBacklog: boolean): number {
    const intervalMs = this.#getIntervalMs();
    const { batchGapMs, maxFlushRetryMs } = this.#settings;
    const dueMs = hasBacklog ? Math.min(intervalMs, batchGapMs) : intervalMs;
    return Math.max(dueMs, Math.min(dueMs * 2 ** this.#failures, maxFlushRetryMs));
  }

  /** Each daemon takes an equal part of the rate, as few seconds as that allows. */
  #getIntervalMs(): number {
    const { minFlushIntervalMs, maxTableWritesPerSecond } = this.#settings;
    const daemonCount = Math.max(1, this.#membership.listAlive().length);
    const sharedMs = (MS_PER_SECOND * ROWS_PER_BATCH * daemonCount) / maxTableWritesPerSecond;
    return Math.max(minFlushIntervalMs, sharedMs);
  }
}

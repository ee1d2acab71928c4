/** Computes flush intervals that keep the total write rate of all daemons under a limit. */
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

  /** Mean delay until the next flush; with a backlog it is at most `batchGapMs`, before backoff. */
  getDelayMs(hasBacklog: boolean): number {
    const intervalMs = this.#getIntervalMs();
    const { batchGapMs, maxFlushRetryMs } = this.#settings;
    const dueMs = hasBacklog ? Math.min(intervalMs, batchGapMs) : intervalMs;
    return Math.max(dueMs, Math.min(dueMs * 2 ** this.#failures, maxFlushRetryMs));
  }

  /** Shortest interval at which each daemon uses an equal share of the write rate. */
  #getIntervalMs(): number {
    const { minFlushIntervalMs, maxTableWritesPerSecond } = this.#settings;
    const daemonCount = Math.max(1, this.#membership.listAlive().length);
    const sharedMs = (MS_PER_SECOND * ROWS_PER_BATCH * daemonCount) / maxTableWritesPerSecond;
    return Math.max(minFlushIntervalMs, sharedMs);
  }
}

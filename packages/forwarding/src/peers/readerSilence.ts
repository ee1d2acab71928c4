/**
 * Detects that the readers of a table have gone silent, long before they count as stopped. A daemon
 * that notices reads the table itself until it hears a reader again: a false alarm costs calls to
 * the store, while a missed change may let it overload an upstream that has become cold.
 */
import { AGGREGATOR_TIMEOUT_MS } from './aggregatorElection.js';

/** When a reader last reported, directly or through an aggregator. */
export interface ReaderContact {
  readonly dataCentre: string;
  readonly heardAtMs: number;
}

/**
 * A reader that has not reported for this long is considered stopped or unreachable. The age of its
 * reports cannot show this: a running reader has no newer report while the store holds its request.
 */
export const READER_TIMEOUT_MS = 1_500;

/** Leaves the next aggregator time to be heard, so that the loss of one alone is no silence. */
const READER_SILENCE_MS = AGGREGATOR_TIMEOUT_MS + 50;

/**
 * A reader that leaves the lists after a longer silence did not withdraw its report: its daemon has
 * ended, or an aggregator that has just started does not know it. Reports arrive more often.
 */
const MIN_LOSS_SILENCE_MS = 450;

export interface SilenceQuery {
  readonly nowMs: number;
  /** Whether reports go through aggregators, as in large fleets. */
  readonly hasAggregators: boolean;
}

/** When the readers, of which there is one at least, go silent unless one reports. */
const getSilentAtMs = (readers: readonly ReaderContact[]): number =>
  Math.max(...readers.map(({ heardAtMs }) => heardAtMs)) + READER_SILENCE_MS;

export class ReaderSilence {
  readonly #dataCentre: string;

  /** Tables whose last known reader was lost without a withdrawal. */
  readonly #lostTables = new Set<string>();

  constructor(dataCentre: string) {
    this.#dataCentre = dataCentre;
  }

  recordReport(table: string): void {
    this.#lostTables.delete(table);
  }

  /** Called when the last known reader of the table is no longer listed. */
  recordLastLoss(table: string, { heardAtMs }: ReaderContact, nowMs: number): void {
    if (nowMs - heardAtMs >= MIN_LOSS_SILENCE_MS) {
      this.#lostTables.add(table);
    }
  }

  /** `readers`: the known readers of the table. */
  isSilent(
    table: string,
    readers: readonly ReaderContact[],
    { nowMs, hasAggregators }: SilenceQuery,
  ): boolean {
    const isLocalSilent = (): boolean => {
      const local = this.#listRecentLocal(readers, nowMs);
      return local.length > 0 && getSilentAtMs(local) <= nowMs;
    };
    return (
      this.#lostTables.has(table) ||
      (readers.length > 0 && getSilentAtMs(readers) <= nowMs) ||
      (hasAggregators && isLocalSilent())
    );
  }

  /** When the readers may go silent next; Infinity if only by the loss of a report. */
  getNextSilenceAtMs(readers: readonly ReaderContact[], nowMs: number): number {
    const groups = [readers, this.#listRecentLocal(readers, nowMs)];
    const silentAtMs = groups.filter((group) => group.length > 0).map(getSilentAtMs);
    return Math.min(Infinity, ...silentAtMs.filter((atMs) => atMs > nowMs));
  }

  /**
   * An aggregator hears only the readers of its own data centre directly, so it notices their loss
   * first. Once they count as stopped, those of other data centres are enough.
   */
  #listRecentLocal(readers: readonly ReaderContact[], nowMs: number): readonly ReaderContact[] {
    return readers.filter(
      ({ dataCentre, heardAtMs }) =>
        dataCentre === this.#dataCentre && nowMs - heardAtMs < READER_TIMEOUT_MS,
    );
  }
}

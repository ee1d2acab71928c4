/** Writes settled entries to the object store during long table outages. */
import { getErrorMessage, type Logger } from '@snipehaven/common';
import type { ObjectStoreClient } from '@snipehaven/platform';
import type { UsageEntry } from '@snipehaven/protocol';
import type { TimelineRecorder } from '@snipehaven/timeline';
import { getSpillName } from './ledgerRows.js';
import { encodeBatch } from './readSpills.js';
import type { RecordBook } from './recordBook.js';
import type { LedgerSettings } from './types.js';
import { withTimeout } from './withTimeout.js';

export interface LedgerSpillerOptions {
  readonly self: string;
  readonly book: RecordBook;
  readonly objectStore: ObjectStoreClient;
  readonly timeline: TimelineRecorder;
  readonly logger: Logger;
  readonly settings: LedgerSettings;
  /** Called with entries that are now stored durably in the platform. */
  readonly onLasting: (entries: readonly UsageEntry[]) => void;
}

/** Name and content stay unchanged until the object is known to be stored. */
interface Spill {
  readonly name: string;
  readonly entries: readonly UsageEntry[];
}

export class LedgerSpiller {
  readonly #options: LedgerSpillerOptions;

  #seq = 0;

  #spill: Spill | undefined;

  constructor(options: LedgerSpillerOptions) {
    this.#options = options;
  }

  /** Spills the oldest entries until at most the threshold is left, or the object store fails. */
  async spillAbove(thresholdRecords: number): Promise<void> {
    const { book } = this.#options;
    let isStored = true;
    while (isStored && book.settledCount > thresholdRecords) {
      isStored = await this.#storeNext();
    }
  }

  /**
   * A put whose reply was lost is repeated with the same name and bytes, which makes it idempotent.
   * Entries that are in the table too are deduplicated by the fold.
   */
  async #storeNext(): Promise<boolean> {
    this.#spill ??= this.#createSpill();
    const spill = this.#spill;
    try {
      await this.#put(spill);
    } catch (error) {
      this.#options.logger.warn(
        { error: getErrorMessage(error) },
        'failed to spill a ledger batch',
      );
      return false;
    }
    this.#spill = undefined;
    const detail = { entries: spill.entries.length, to: 'objectStore' };
    this.#options.timeline.record('ledgerFlushed', {}, detail);
    this.#options.onLasting(spill.entries);
    return true;
  }

  #put(spill: Spill): Promise<void> {
    const { objectStore, settings } = this.#options;
    const bytes = encodeBatch({ token: spill.name, entries: [...spill.entries] });
    return withTimeout(objectStore.put(spill.name, bytes), settings.platformTimeoutMs, 'spill');
  }

  #createSpill(): Spill {
    const { self, book, settings } = this.#options;
    this.#seq += 1;
    return {
      name: getSpillName(self, this.#seq),
      entries: book.listSettled(settings.maxSpillEntries),
    };
  }
}

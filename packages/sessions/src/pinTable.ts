/** Reads and writes rows of pins; requests never wait long for it. */
import { getErrorMessage, type Logger } from '@snipehaven/common';
import type { TableClient, TableRow, TransactionResult } from '@snipehaven/platform';
import {
  getBucketKey,
  isRowCurrent,
  mergePinRow,
  restorePinRow,
  serializePinRow,
  type PinsByKey,
} from './pinRow.js';
import type { PinSettings } from './types.js';
import { withinTime } from './withinTime.js';

export interface PinTableOptions {
  readonly table: TableClient;
  readonly logger: Logger;
  readonly settings: PinSettings;
}

/** What this daemon holds of one bucket. */
export interface BucketPins {
  readonly bucket: number;
  readonly pins: PinsByKey;
}

/** Outcome for one bucket: `conflict` means that it has to be written again. */
export interface BucketWrite {
  readonly bucket: number;
  readonly kind: 'current' | 'written' | 'conflict';
  /** The row's pins before, merged with the own ones. */
  readonly merged: PinsByKey;
}

interface PlannedWrite extends BucketPins {
  readonly version: number;
  readonly merged: PinsByKey;
  readonly isCurrent: boolean;
}

/** Uses are written once they are a fair part of the lifetime old, not with every request. */
const USE_TOLERANCE_SHARE = 0.25;

export class PinTable {
  readonly #options: PinTableOptions;

  #askAgainAtMs = 0;

  /** The longest wait that failed lately: a longer one may still succeed. */
  #failedWaitMs = 0;

  constructor(options: PinTableOptions) {
    this.#options = options;
  }

  /**
   * The pins of a bucket's row. With the table away, sessions must go on: after a failure or a slow
   * reply requests do without the table for a while instead of each waiting for it. Undefined: the
   * table did not say, which is not the same as a row without the pin.
   */
  async readBucket(bucket: number, waitMs: number): Promise<PinsByKey | undefined> {
    if (Date.now() < this.#askAgainAtMs && waitMs <= this.#failedWaitMs) {
      return undefined;
    }
    const rows = await withinTime(this.#readRows([bucket]), waitMs);
    if (!rows) {
      this.#noteFailure(waitMs);
      return undefined;
    }
    return restorePinRow(rows[0]?.value);
  }

  /** Merges the buckets into their rows in one call; throws the platform's errors. */
  async writeBuckets(buckets: readonly BucketPins[]): Promise<readonly BucketWrite[]> {
    const rows = await this.#options.table.read(buckets.map(({ bucket }) => getBucketKey(bucket)));
    const plans = buckets.map((own) => this.#plan(own, rows));
    const outdated = plans.filter((plan) => !plan.isCurrent);
    const results = outdated.length === 0 ? [] : await this.#transact(outdated);
    return plans.map((plan) => this.#report(plan, results[outdated.indexOf(plan)]));
  }

  #noteFailure(waitMs: number): void {
    const isLate = Date.now() >= this.#askAgainAtMs;
    this.#failedWaitMs = isLate ? waitMs : Math.max(waitMs, this.#failedWaitMs);
    this.#askAgainAtMs = Date.now() + this.#options.settings.tableRetryMs;
  }

  async #readRows(buckets: readonly number[]): Promise<readonly TableRow[] | undefined> {
    try {
      return await this.#options.table.read(buckets.map(getBucketKey));
    } catch (error) {
      this.#options.logger.debug({ err: getErrorMessage(error) }, 'pins not read from the table');
      return undefined;
    }
  }

  #plan(own: BucketPins, rows: readonly TableRow[]): PlannedWrite {
    const { settings } = this.#options;
    const row = rows.find(({ key }) => key === getBucketKey(own.bucket));
    const present = restorePinRow(row?.value);
    const merged = mergePinRow(present, own.pins, Date.now(), settings);
    const toleranceMs = settings.pinLifetimeMs * USE_TOLERANCE_SHARE;
    const isCurrent = isRowCurrent(present, merged, toleranceMs);
    return { ...own, version: row?.version ?? 0, merged, isCurrent };
  }

  #transact(plans: readonly PlannedWrite[]): Promise<readonly TransactionResult[]> {
    return this.#options.table.transact(
      plans.map(({ bucket, version, merged }) => {
        const key = getBucketKey(bucket);
        return {
          conditions: [{ key, version }],
          writes: [{ key, value: serializePinRow(merged) }],
        };
      }),
    );
  }

  #report(plan: PlannedWrite, result: TransactionResult | undefined): BucketWrite {
    const { bucket, merged, isCurrent } = plan;
    if (isCurrent) {
      return { bucket, kind: 'current', merged };
    }
    return { bucket, kind: result?.kind === 'committed' ? 'written' : 'conflict', merged };
  }
}

/** Reads and writes rows of pins, with short timeouts for requests. */
import { getErrorMessage, type Logger } from '@snipehaven/common';
import type { TableClient, TableRow, TransactionResult } from '@snipehaven/platform';
import {
  getBucketKey,
  isRowCurrent,
  mergePinRow,
  parsePinRow,
  serializePinRow,
  type PinsByKey,
} from './pinRow.js';
import type { PinSettings } from './types.js';
import { withTimeout } from './withTimeout.js';

export interface PinTableOptions {
  readonly table: TableClient;
  readonly logger: Logger;
  readonly settings: PinSettings;
}

/** This daemon's pins of one bucket. */
export interface BucketPins {
  readonly bucket: number;
  readonly pins: PinsByKey;
}

/** The result of writing one bucket; on `conflict` it must be written again. */
export interface BucketWrite {
  readonly bucket: number;
  readonly kind: 'current' | 'written' | 'conflict';
  /** The row's previous pins merged with this daemon's. */
  readonly merged: PinsByKey;
}

interface PlannedWrite extends BucketPins {
  readonly version: number;
  readonly merged: PinsByKey;
  readonly isCurrent: boolean;
}

/**
 * A last use is written only once it is older than this fraction of the lifetime, not for every
 * request.
 */
const USE_TOLERANCE_RATIO = 0.25;

export class PinTable {
  readonly #options: PinTableOptions;

  #retryAtMs = 0;

  /** The longest timeout that failed recently; a read with a longer one may still succeed. */
  #failedTimeoutMs = 0;

  constructor(options: PinTableOptions) {
    this.#options = options;
  }

  /**
   * Reads the pins of a bucket's row. Sessions must continue while the table is down: after a
   * failure or a slow response, requests skip the table for a while instead of each waiting for it.
   * Undefined means that the table did not respond, as opposed to a row without the pin.
   */
  async readBucket(bucket: number, timeoutMs: number): Promise<PinsByKey | undefined> {
    if (Date.now() < this.#retryAtMs && timeoutMs <= this.#failedTimeoutMs) {
      return undefined;
    }
    const rows = await withTimeout(this.#readRows([bucket]), timeoutMs);
    if (!rows) {
      this.#recordFailure(timeoutMs);
      return undefined;
    }
    return parsePinRow(rows[0]?.value);
  }

  /** Merges the buckets into their rows in one call; throws the errors of the platform package. */
  async writeBuckets(buckets: readonly BucketPins[]): Promise<readonly BucketWrite[]> {
    const rows = await this.#options.table.read(buckets.map(({ bucket }) => getBucketKey(bucket)));
    const plans = buckets.map((own) => this.#plan(own, rows));
    const outdated = plans.filter((plan) => !plan.isCurrent);
    const results = outdated.length === 0 ? [] : await this.#transact(outdated);
    return plans.map((plan) => this.#toBucketWrite(plan, results[outdated.indexOf(plan)]));
  }

  #recordFailure(timeoutMs: number): void {
    const isRetryDue = Date.now() >= this.#retryAtMs;
    this.#failedTimeoutMs = isRetryDue ? timeoutMs : Math.max(timeoutMs, this.#failedTimeoutMs);
    this.#retryAtMs = Date.now() + this.#options.settings.tableRetryDelayMs;
  }

  async #readRows(buckets: readonly number[]): Promise<readonly TableRow[] | undefined> {
    try {
      return await this.#options.table.read(buckets.map(getBucketKey));
    } catch (error) {
      this.#options.logger.debug(
        { err: getErrorMessage(error) },
        'failed to read pins from the table',
      );
      return undefined;
    }
  }

  #plan(own: BucketPins, rows: readonly TableRow[]): PlannedWrite {
    const { settings } = this.#options;
    const row = rows.find(({ key }) => key === getBucketKey(own.bucket));
    const present = parsePinRow(row?.value);
    const merged = mergePinRow(present, own.pins, Date.now(), settings);
    const toleranceMs = settings.pinLifetimeMs * USE_TOLERANCE_RATIO;
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

  #toBucketWrite(plan: PlannedWrite, result: TransactionResult | undefined): BucketWrite {
    const { bucket, merged, isCurrent } = plan;
    if (isCurrent) {
      return { bucket, kind: 'current', merged };
    }
    return { bucket, kind: result?.kind === 'committed' ? 'written' : 'conflict', merged };
  }
}

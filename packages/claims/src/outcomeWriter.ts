/** Writes the outcomes of claims, again and again through outages of the table. */
import { getErrorMessage, sleep, type Logger } from '@snipehaven/common';
import type { TransactionResult } from '@snipehaven/platform';
import {
  tryRestoreClaimRow,
  serializeClaimRow,
  type ClaimRow,
  type ClaimState,
} from './claimRow.js';
import type { PendingClaim } from './pendingClaims.js';
import type { TransactionBatcher } from './transactionBatcher.js';
import type { ClaimSettings } from './types.js';

export type OutcomeFields = Pick<ClaimRow, 'state' | 'answer' | 'answerObject'>;

/** `gone`: the row is no longer this claim's (cleaned up, or claimed anew after a release). */
export type WriteResult = 'written' | 'gone' | 'gaveUp';

export interface WriterOptions {
  readonly batcher: TransactionBatcher;
  readonly incarnation: string;
  readonly logger: Logger;
  readonly settings: ClaimSettings;
}

export class OutcomeWriter {
  readonly #options: WriterOptions;

  #isStopped = false;

  constructor(options: WriterOptions) {
    this.#options = options;
  }

  /** Ends the background tries; what is not written by then stays unwritten. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Writes the outcome over the row at `rowVersion`, until it is in the table or `giveUpAtMs`. */
  async write(
    pending: PendingClaim,
    rowVersion: number,
    prepare: () => Promise<OutcomeFields>,
    giveUpAtMs: number,
  ): Promise<WriteResult> {
    const { settleRetryMs, maxSettleRetryMs } = this.#options.settings;
    let version = rowVersion;
    let pauseMs = settleRetryMs;
    while (!this.#isStopped && Date.now() <= giveUpAtMs) {
      try {
        const fields = await prepare();
        const result = await this.#submit(pending, version, fields, giveUpAtMs);
        const next = this.#readResult(pending, fields.state, result);
        if (typeof next === 'string') {
          return next;
        }
        version = next.rowVersion;
      } catch (error) {
        this.#options.logger.debug(
          { err: getErrorMessage(error) },
          'outcome of a claim not written',
        );
        await sleep(pauseMs);
        pauseMs = Math.min(pauseMs * 2, maxSettleRetryMs);
      }
    }
    return 'gaveUp';
  }

  #submit(
    pending: PendingClaim,
    version: number,
    fields: OutcomeFields,
    giveUpAtMs: number,
  ): Promise<TransactionResult> {
    const value = serializeClaimRow({
      token: pending.token,
      bodyHash: pending.bodyHash,
      owner: this.#options.incarnation,
      atMs: Date.now(),
      deadlineAtMs: pending.deadlineAtMs,
      ...fields,
    });
    const key = pending.rowKey;
    const transaction = { conditions: [{ key, version }], writes: [{ key, value }] };
    return this.#options.batcher.submit(transaction, giveUpAtMs);
  }

  /** The row's version to write over where the claim itself is found at another one. */
  #readResult(
    pending: PendingClaim,
    state: ClaimState,
    result: TransactionResult,
  ): WriteResult | { readonly rowVersion: number } {
    if (result.kind === 'committed') {
      return 'written';
    }
    const present = result.rows.find((row) => row.key === pending.rowKey);
    const row = present && tryRestoreClaimRow(present.value);
    if (!present || row?.token !== pending.token) {
      return 'gone';
    }
    return row.state === state ? 'written' : { rowVersion: present.version };
  }
}

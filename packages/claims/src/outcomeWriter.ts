/** Writes claim outcomes to the table, with retries during outages. */
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

/** `gone`: the row was deleted, or released and claimed again, and no longer belongs to this claim. */
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

  /** Stops retrying; outcomes not yet written stay unwritten. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Writes the outcome over the row at `rowVersion`, with retries until `giveUpAtMs`. */
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
          'failed to write a claim outcome',
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

  /** Maps the result of a write; returns the current version if the claim's row has another one. */
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

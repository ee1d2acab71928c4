/** Writes a claim to the table and handles lost replies, refusals and existing rows. */
import { sleep } from '@snipehaven/common';
import type { TableRow, TableTransaction, TransactionResult } from '@snipehaven/platform';
import { tryRestoreClaimRow, serializeClaimRow, type ClaimRow } from './claimRow.js';
import { judgeRow, type RowVerdict } from './judgeRow.js';
import { isProvenNotDone, type TransactionBatcher } from './transactionBatcher.js';
import type { PendingClaim } from './pendingClaims.js';
import type { ClaimRequest, ClaimSettings } from './types.js';

/** Result of trying to claim a key. */
export type TakeResult =
  | { readonly kind: 'taken'; readonly fence: number }
  | { readonly kind: 'held'; readonly verdict: RowVerdict; readonly row: ClaimRow | undefined }
  /** Not committed, and certain not to commit later. */
  | { readonly kind: 'notTaken'; readonly cause: unknown }
  /** A write conditional on `rowVersion` was sent, and whether it commits is unknown. */
  | { readonly kind: 'undecided'; readonly rowVersion: number; readonly cause: unknown };

export interface TakerOptions {
  readonly batcher: TransactionBatcher;
  readonly incarnation: string;
  readonly isIncarnationAlive: (incarnation: string) => boolean;
  readonly settings: ClaimSettings;
}

type Step =
  | { readonly kind: 'done'; readonly result: TakeResult }
  | { readonly kind: 'again'; readonly rowVersion: number };

const takeAt = (rowVersion: number): Step => ({ kind: 'again', rowVersion });

const finishWith = (result: TakeResult): Step => ({ kind: 'done', result });

export class ClaimTaker {
  readonly #options: TakerOptions;

  constructor(options: TakerOptions) {
    this.#options = options;
  }

  /**
   * After a lost reply the write is repeated instead of read back, because the first write may still
   * be in flight and commit after a read that found no row. That would leave a key claimed although its
   * request was refused, or dispatch a request without a claim. A repeated write either commits, so
   * that the first one no longer can, or fails with a conflict that returns the current row.
   */
  async take(
    pending: PendingClaim,
    request: ClaimRequest,
    giveUpAtMs: number,
  ): Promise<TakeResult> {
    let rowVersion = 0;
    let lost: { readonly cause: unknown } | undefined;
    while (Date.now() <= giveUpAtMs) {
      try {
        const step = await this.#attempt(pending, request, rowVersion, giveUpAtMs);
        if (step.kind === 'done') {
          return step.result;
        }
        rowVersion = step.rowVersion;
      } catch (error) {
        if (isProvenNotDone(error) && !lost) {
          return { kind: 'notTaken', cause: error };
        }
        lost ??= { cause: error };
        await sleep(this.#options.settings.lostReplyRetryMs);
      }
    }
    return lost
      ? { kind: 'undecided', rowVersion, ...lost }
      : { kind: 'notTaken', cause: undefined };
  }

  async #attempt(
    pending: PendingClaim,
    request: ClaimRequest,
    rowVersion: number,
    giveUpAtMs: number,
  ): Promise<Step> {
    const transaction = this.#createTransaction(pending, rowVersion);
    const result = await this.#options.batcher.submit(transaction, giveUpAtMs);
    return this.#readResult(pending, request, result);
  }

  #createTransaction(pending: PendingClaim, rowVersion: number): TableTransaction {
    const value = serializeClaimRow({
      token: pending.token,
      bodyHash: pending.bodyHash,
      owner: this.#options.incarnation,
      state: 'claimed',
      atMs: Date.now(),
      deadlineAtMs: pending.deadlineAtMs,
    });
    return {
      conditions: [{ key: pending.rowKey, version: rowVersion }],
      writes: [{ key: pending.rowKey, value }],
    };
  }

  #readResult(pending: PendingClaim, request: ClaimRequest, result: TransactionResult): Step {
    if (result.kind === 'committed') {
      return finishWith({ kind: 'taken', fence: result.versions[0]?.version ?? 0 });
    }
    const present = result.rows.find((row) => row.key === pending.rowKey);
    return present ? this.#judge(pending, request, present) : takeAt(0);
  }

  #judge(pending: PendingClaim, request: ClaimRequest, present: TableRow): Step {
    const row = tryRestoreClaimRow(present.value);
    if (!row) {
      return finishWith({ kind: 'held', verdict: 'outcomeUnknown', row });
    }
    const verdict = judgeRow(row, request, {
      ownToken: pending.token,
      ownIncarnation: this.#options.incarnation,
      isIncarnationAlive: this.#options.isIncarnationAlive,
      nowMs: Date.now(),
      settings: this.#options.settings,
    });
    if (verdict === 'free') {
      return takeAt(present.version);
    }
    return verdict === 'own'
      ? finishWith({ kind: 'taken', fence: present.version })
      : finishWith({ kind: 'held', verdict, row });
  }
}

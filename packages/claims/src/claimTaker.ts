/** Takes a claim in the table: the loop around lost replies, refusals and rows in the way. */
import { sleep } from '@snipehaven/common';
import type { TableRow, TableTransaction, TransactionResult } from '@snipehaven/platform';
import { tryRestoreClaimRow, serializeClaimRow, type ClaimRow } from './claimRow.js';
import { judgeRow, type RowVerdict } from './judgeRow.js';
import { isProvenNotDone, type TransactionBatcher } from './transactionBatcher.js';
import type { PendingClaim } from './pendingClaims.js';
import type { ClaimRequest, ClaimSettings } from './types.js';

/** How an attempt to claim ended. */
export type TakeResult =
  | { readonly kind: 'taken'; readonly fence: number }
  | { readonly kind: 'held'; readonly verdict: RowVerdict; readonly row: ClaimRow | undefined }
  /** Proven not committed, now or later. */
  | { readonly kind: 'notTaken'; readonly cause: unknown }
  /** A write over the row's version went out, and nobody can tell whether it is or will be done. */
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
   * What goes wrong: the reply to a claim is lost, and the write is committed, or still on its way and
   * commits after a read that found nothing. One notices a key that is claimed though its request was
   * refused, or a request dispatched without its claim. Hence the same write is sent again instead of
   * a mere read: either it commits, and the first one can no more, or the conflict shows the row.
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

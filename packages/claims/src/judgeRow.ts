/** What another's row means for a request with the same key. */
import type { ClaimRow } from './claimRow.js';
import type { ClaimRequest, ClaimSettings } from './types.js';

export type RowVerdict =
  /** Nobody holds the key: it may be claimed over this row. */
  | 'free'
  /** The row is this attempt's own, written by a call whose reply was lost. */
  | 'own'
  | 'finished'
  | 'inProgress'
  | 'outcomeUnknown'
  | 'differentBody';

export interface JudgeContext {
  readonly ownToken: string;
  readonly ownIncarnation: string;
  readonly isIncarnationAlive: (incarnation: string) => boolean;
  readonly nowMs: number;
  readonly settings: Pick<ClaimSettings, 'deadlineGraceMs'>;
}

/**
 * Whether the holder may still be at work. A row of the own incarnation that is not in its memory was
 * given up after `maxUnwrittenAnswerMs`: nobody will write its outcome any more.
 */
const mayStillRun = (row: ClaimRow, context: JudgeContext): boolean =>
  row.owner !== context.ownIncarnation &&
  context.isIncarnationAlive(row.owner) &&
  context.nowMs <= row.deadlineAtMs + context.settings.deadlineGraceMs;

const judgeByState: Record<
  ClaimRow['state'],
  (row: ClaimRow, context: JudgeContext) => RowVerdict
> = {
  released: () => 'free',
  finished: () => 'finished',
  unknown: () => 'outcomeUnknown',
  claimed: (row, context) => (mayStillRun(row, context) ? 'inProgress' : 'outcomeUnknown'),
};

/** Judges the present row; claims are never taken from their holder, dead or alive. */
export const judgeRow = (
  row: ClaimRow,
  request: ClaimRequest,
  context: JudgeContext,
): RowVerdict => {
  if (row.token === context.ownToken) {
    return 'own';
  }
  if (row.state !== 'released' && row.bodyHash !== request.bodyHash) {
    return 'differentBody';
  }
  return judgeByState[row.state](row, context);
};

/** Evaluates an existing claim row for a request with the same key. */
import type { ClaimRow } from './claimRow.js';
import type { ClaimRequest, ClaimSettings } from './types.js';

export type RowVerdict =
  /** The key is unclaimed, and this row may be overwritten. */
  | 'free'
  /** This attempt wrote the row in a call whose reply was lost. */
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
 * Whether the owner may still be processing the request. If the row belongs to this incarnation but is
 * not in its memory, it was abandoned after `maxUnwrittenAnswerMs` and its outcome will not be written.
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

/** Evaluates the current row; a claim is never taken over from its owner, whether dead or alive. */
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

/** What upstreams say of themselves in the headers of their answers, and to whom they said it. */

/** What an upstream says at present; a field that is not set is not said. */
export interface Statement {
  /** Requests per second that it accepts from all daemons together. */
  readonly rateLimitPerS?: number;
  /** Requests per second that it can turn away for lack of room. */
  readonly rejectionsPerS?: number;
  readonly isLeaving?: boolean;
  /** In seconds; only with a request that is turned away. */
  readonly backOffS?: number;
}

/** One answer that said something. */
export interface Telling {
  readonly attemptId: string;
  readonly upstream: string;
  readonly atMs: number;
  readonly statement: Statement;
}

export const renderStatement = ({
  rateLimitPerS,
  rejectionsPerS,
  isLeaving,
  backOffS,
}: Statement): Record<string, string> => ({
  ...(rateLimitPerS === undefined ? {} : { 'Server-Limit': String(rateLimitPerS) }),
  ...(rejectionsPerS === undefined ? {} : { 'Server-Brittle': String(rejectionsPerS) }),
  ...(isLeaving === true ? { 'Server-Leaving': '1' } : {}),
  ...(backOffS === undefined ? {} : { 'Retry-After': String(backOffS) }),
});

/** Types of the limits on what callers may make a process hold. */

/** What a process may use of its VM. */
export interface ProcessLimits {
  readonly memoryBytes: number;
  readonly descriptors: number;
}

/** What all callers of a process together may make it hold. */
export interface CallerLimits {
  readonly maxConnections: number;
  /** Requests that are read and not answered. */
  readonly maxRequests: number;
  readonly maxSmallBodyBytes: number;
  readonly maxLargeBodyBytes: number;
  /** Of answers that are held until they are whole. */
  readonly maxHeldAnswerBytes: number;
  readonly maxUnreadBytes: number;
}

/**
 * `connections`: no connection could be closed for a new one. `idleConnections`: a connection on which no
 * request ran was closed for a new one. `requestsAhead`: too many requests on one connection.
 */
export type CallerLimit =
  | 'connections'
  | 'idleConnections'
  | 'requestsAhead'
  | 'requests'
  | 'bodyBytes'
  | 'bodyAfterRefusal'
  | 'unreadBytes';

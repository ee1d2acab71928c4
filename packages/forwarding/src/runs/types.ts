/** The caller's side of a request run, and the reasons for refusing a request. */

import type { ResponseFraming } from '../exchange/index.js';
import type { HoldOffReason } from '../upstreams/index.js';

export const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/** Why a caller gets no response from an upstream. */
export type RefusalReason =
  | 'notReady'
  | 'leaving'
  | 'staleConfiguration'
  | 'noRoute'
  | 'unknownKey'
  | 'badRequest'
  | 'headersTooLarge'
  | 'bodyTooLarge'
  | 'overloaded'
  | 'noUpstream'
  | HoldOffReason
  | 'versionEvacuated'
  | 'upstreamsBusy'
  | 'deadlineNotRun'
  | 'deadline'
  | 'upstreamFailed'
  | 'held'
  | 'heldAfterRun';

export interface Refusal {
  readonly reason: RefusalReason;
  /** When the caller may retry, in seconds; set only if the request has not run. */
  readonly retryAfterS?: number;
}

/** The caller's side of one request. */
export interface CallerPort {
  /**
   * Starts the response. With `untilClose` it is not certain that the response is whole, and only the
   * end of the caller's connection marks its end.
   */
  begin(
    status: number,
    headers: Readonly<Record<string, string | string[]>>,
    framing: ResponseFraming,
  ): void;
  /** False when the caller reads more slowly than bytes are written. */
  write(bytes: Buffer): boolean;
  end(): void;
  /**
   * Aborts an incomplete response in such a way that the caller cannot take it for a complete one.
   */
  abort(): void;
  refuse(refusal: Refusal): void;
  onDrain(listener: () => void): void;
}

/** What a run needs of the caller's connection, and its final refusals. */

import type { ResponseFraming } from '../exchange/index.js';

/** Why a caller gets no upstream's answer. */
export type RefusalReason =
  | 'notReady'
  | 'leaving'
  | 'staleConfiguration'
  | 'noRoute'
  | 'unknownKey'
  | 'badRequest'
  | 'headersTooLarge'
  | 'bodyTooLarge'
  | 'noUpstream'
  | 'warmingUp'
  | 'versionEvacuated'
  | 'upstreamsBusy'
  | 'deadlineNotRun'
  | 'deadline'
  | 'upstreamFailed'
  | 'held'
  | 'heldAfterRun';

export interface Refusal {
  readonly reason: RefusalReason;
  /** When the caller may come back; only where the request has not run. */
  readonly retryAfterS?: number;
}

/** The caller's side of one request. */
export interface CallerPort {
  /**
   * `untilClose`: the upstream told the answer's end by closing. Nobody here can tell whether that is the
   * whole of it, so the caller is told in the same way and no frame calls it complete.
   */
  begin(
    status: number,
    headers: Readonly<Record<string, string | string[]>>,
    framing: ResponseFraming,
  ): void;
  /** False when the caller reads more slowly than we write. */
  write(bytes: Buffer): boolean;
  end(): void;
  /** Ends an answer that is not whole, so that nobody takes it for one. */
  abort(): void;
  refuse(refusal: Refusal): void;
  onDrain(listener: () => void): void;
}

/** Requests that are held back because upstreams ended under them. */
import type { RequestDigest } from '@snipehaven/common';

export interface Hold {
  readonly digest: RequestDigest;
  /** Lives of upstreams that ended under it. */
  readonly lives: readonly string[];
  /** On this daemon's steady clock. */
  readonly sinceMs: number;
  readonly untilMs: number;
}

/** A hold as the store keeps it for daemons that start, or did not hear of it. */
export interface HoldRecord {
  readonly digest: RequestDigest;
  /** Lives of upstreams that ended under it. */
  readonly lives: readonly string[];
  /** The daemon that wrote it. */
  readonly vm: string;
  /** On the store's steady clock. */
  readonly sinceStoreMs: number;
  readonly untilStoreMs: number;
}

/** Writes to the store; throws `StoreUnavailableError` when the outcome is unknown. */
export interface HoldWriter {
  /** False when the row had another version; `expectedVersion` 0: there was none. */
  write(hold: HoldRecord, expectedVersion: number): Promise<boolean>;
  remove(digest: RequestDigest): Promise<void>;
}

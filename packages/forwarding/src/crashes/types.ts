/** Requests that are held back because upstreams crashed while running them. */
import type { RequestDigest } from '@snipehaven/common';
import type { StoreRevision } from '../store/index.js';

export interface Hold {
  readonly digest: RequestDigest;
  /** Incarnations of upstreams that crashed while running it. */
  readonly lives: readonly string[];
  /** On this daemon's monotonic clock. */
  readonly sinceMs: number;
  readonly untilMs: number;
}

/** A hold as stored for daemons that start or missed the report. */
export interface HoldRecord {
  readonly digest: RequestDigest;
  /** Incarnations of upstreams that crashed while running it. */
  readonly lives: readonly string[];
  /** The daemon that wrote the row. */
  readonly vm: string;
  /** On the store's monotonic clock. */
  readonly sinceStoreMs: number;
  readonly untilStoreMs: number;
}

/** Writes holds to the store; throws `StoreUnavailableError` if the outcome is unknown. */
export interface HoldWriter {
  /** Returns false if the row has another revision; version 0 stands for no row. */
  write(hold: HoldRecord, expected: StoreRevision): Promise<boolean>;
  remove(digest: RequestDigest): Promise<void>;
}

/** What was answered completely, and when that answer began, on this daemon's monotonic clock. */
export interface CompleteAnswer {
  readonly suspects: readonly RequestDigest[];
  readonly beganAtMs: number;
}

/** What of a request is suspected most, and by how many crashes. */
export interface MainSuspect {
  readonly digest: RequestDigest;
  readonly weight: number;
}

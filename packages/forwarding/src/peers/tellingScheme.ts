/** How daemons tell each other of their work: one scheme for a few of them, another for many. */
import type { Random } from '@snipehaven/common';
import type { Learned } from './learned.js';
import type { LoadMessage, UpstreamLoad } from './loadMessage.js';
import type { NewsBoard } from './newsBoard.js';
import type { PeerDirectory } from './peerDirectory.js';
import type { PeerLoads } from './peerLoads.js';
import type { PeerMessenger } from './peerMessenger.js';

/** A prompt of usual length is read in about this time: news older than that is of little use. */
export const TICK_MS = 150;

export interface TellingContext {
  readonly directory: PeerDirectory;
  readonly loads: PeerLoads;
  readonly board: NewsBoard;
  readonly messenger: PeerMessenger;
  readonly random: Random;
  readOwnLoads(): ReadonlyMap<string, UpstreamLoad>;
  readOwnLearned(): Learned;
}

/** A load message as it came. */
export interface LoadDatagram {
  readonly message: LoadMessage;
  readonly bytes: Buffer;
  /** The sender's. */
  readonly host: string;
}

export interface TellingScheme {
  /** Until the next tick is due: whole steps of `TICK_MS`. */
  readonly tickMs: number;
  /** `ticks` counts steps of `TICK_MS`. */
  tick(ticks: number, nowMs: number): void;
  /** Tells the own work now, as it is large. */
  tellWork(nowMs: number): void;
  /** Tells now what this daemon read of the store. */
  tellNews(nowMs: number): void;
  take(datagram: LoadDatagram, nowMs: number): void;
  /** The daemon stood still until now. */
  notePause(nowMs: number): void;
}

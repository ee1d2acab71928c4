/** How daemons share their loads: a full mesh for small fleets, aggregation for large ones. */
import type { Random } from '@snipehaven/common';
import type { SharedStatistics } from './sharedStatistics.js';
import type { LoadMessage, UpstreamLoad } from './loadMessage.js';
import type { ReaderRegistry } from './readerRegistry.js';
import type { Peer, PeerDirectory } from './peerDirectory.js';
import type { PeerLoads } from './peerLoads.js';
import type { PeerMessenger } from './peerMessenger.js';

/**
 * About the time in which an engine reads a prompt of usual length; older loads are of little use.
 */
export const TICK_MS = 150;

export interface StrategyContext {
  readonly directory: PeerDirectory;
  readonly loads: PeerLoads;
  readonly readerRegistry: ReaderRegistry;
  readonly messenger: PeerMessenger;
  readonly random: Random;
  readOwnLoads(): ReadonlyMap<string, UpstreamLoad>;
  readOwnStatistics(): SharedStatistics;
}

/** A decoded load message with its raw bytes. */
export interface LoadDatagram {
  readonly message: LoadMessage;
  readonly bytes: Buffer;
  /** The sender's address. */
  readonly host: string;
}

export interface LoadSharingStrategy {
  /** Time until the next tick; counted in whole `TICK_MS`. */
  readonly tickMs: number;
  /** `ticks`: multiples of `TICK_MS` since the start. */
  tick(ticks: number, nowMs: number): void;
  /** Sends this daemon's loads at once, because they have changed considerably. */
  sendLoads(nowMs: number): void;
  /** Sends this daemon's reader reports at once. */
  sendReports(nowMs: number): void;
  /** Daemons of the other data centres to which changes are sent, which relay them there. */
  pickRemoteRelays(nowMs: number): readonly Peer[];
  receive(datagram: LoadDatagram, nowMs: number): void;
  /** Called when this daemon was suspended and has just resumed. */
  handlePause(nowMs: number): void;
}

/** Load sharing for small fleets: each daemon sends its loads to all others. */
import type { Peer } from './peerDirectory.js';
import {
  TICK_MS,
  type LoadDatagram,
  type StrategyContext,
  type LoadSharingStrategy,
} from './loadSharingStrategy.js';

/**
 * Traffic between data centres is expensive, and remote loads matter only when the local upstreams
 * are full.
 */
const REMOTE_TICKS = 4;

/** Heartbeat interval while nothing changes. */
const IDLE_TICKS = 6;

export class MeshStrategy implements LoadSharingStrategy {
  readonly tickMs = TICK_MS;

  readonly #context: StrategyContext;

  #lastSentContent = '';

  constructor(context: StrategyContext) {
    this.#context = context;
  }

  tick(ticks: number): void {
    const { readOwnLoads, readerRegistry, directory } = this.#context;
    const isRemoteDue = ticks % REMOTE_TICKS === 0;
    const content = JSON.stringify([[...readOwnLoads()], readerRegistry.ownReports]);
    const isIdle = content === this.#lastSentContent && ticks % IDLE_TICKS !== 0;
    if (!isIdle || isRemoteDue) {
      this.#lastSentContent = content;
      this.#send(isRemoteDue ? directory.all : directory.local);
    }
  }

  sendLoads(): void {
    this.#send(this.#context.directory.local);
  }

  sendReports(): void {
    this.#send(this.#context.directory.all);
  }

  pickRemoteRelays(): readonly Peer[] {
    return this.#context.directory.pickRemotePeers();
  }

  receive({ message }: LoadDatagram, nowMs: number): void {
    if (message.scope === 'own') {
      this.#context.loads.receive(message, nowMs);
      this.#context.readerRegistry.receiveReports(message, nowMs);
    }
  }

  handlePause(): void {
    // Nothing to do: each daemon reports its own loads, so the next message of each restores what
    // was missed.
  }

  #send(peers: readonly Peer[]): void {
    const { messenger, readOwnLoads, readOwnStatistics, readerRegistry } = this.#context;
    const learned = readOwnStatistics();
    const content = {
      loads: readOwnLoads(),
      news: readerRegistry.ownReports,
      readers: [],
      members: 0,
      learned,
    };
    messenger.sendLoadMessage(peers, { ...content, scope: 'own' });
  }
}

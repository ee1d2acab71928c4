/** Relays changes of the store's tables from readers to the other daemons. */
import { encodeChanges, type TableChanges } from './changesMessage.js';
import { MAX_MESH_DAEMONS, type ReaderRegistry } from './readerRegistry.js';
import type { Peer, PeerDirectory } from './peerDirectory.js';
import type { PeerMessenger } from './peerMessenger.js';

export interface ChangesRelayOptions {
  readonly directory: PeerDirectory;
  readonly readerRegistry: ReaderRegistry;
  readonly messenger: PeerMessenger;
  /** In a large fleet, daemons of the other data centres that relay what this one sends. */
  pickRemoteRelays(this: void): readonly Peer[];
}

export class ChangesRelay {
  readonly #directory: PeerDirectory;

  readonly #readerRegistry: ReaderRegistry;

  readonly #messenger: PeerMessenger;

  readonly #pickRemoteRelays: () => readonly Peer[];

  constructor({ directory, readerRegistry, messenger, pickRemoteRelays }: ChangesRelayOptions) {
    this.#directory = directory;
    this.#readerRegistry = readerRegistry;
    this.#messenger = messenger;
    this.#pickRemoteRelays = pickRemoteRelays;
  }

  /**
   * Relays changes that are new here to the data centre: in a large fleet, a remote reader sends
   * them to only one of its daemons.
   */
  receive(changes: TableChanges, bytes: Buffer, host: string): void {
    const isNew = this.#readerRegistry.receiveChanges(changes);
    if (isNew && !this.#isSmallFleet && this.#directory.isRemote(host)) {
      this.#messenger.sendTo(this.#directory.local, bytes);
    }
  }

  /**
   * Sends changes that this daemon read to other daemons at once, so that they need to ask the
   * store only after a loss.
   */
  broadcast(changes: TableChanges): void {
    const { all, local } = this.#directory;
    const peers = this.#isSmallFleet ? all : [...local, ...this.#pickRemoteRelays()];
    this.#messenger.sendIfEncoded(peers, encodeChanges(changes));
  }

  get #isSmallFleet(): boolean {
    return this.#directory.daemonCount <= MAX_MESH_DAEMONS;
  }
}

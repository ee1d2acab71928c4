/** Passes on what readers learn of the store's tables. */
import { encodeChanges, type TableChanges } from './changesMessage.js';
import { SMALL_FLEET, type NewsBoard } from './newsBoard.js';
import type { PeerDirectory } from './peerDirectory.js';
import type { PeerMessenger } from './peerMessenger.js';

export class ChangesRelay {
  readonly #directory: PeerDirectory;

  readonly #board: NewsBoard;

  readonly #messenger: PeerMessenger;

  constructor(directory: PeerDirectory, board: NewsBoard, messenger: PeerMessenger) {
    this.#directory = directory;
    this.#board = board;
    this.#messenger = messenger;
  }

  /** What is new here goes on to the data centre, where one daemon alone was told. */
  take(changes: TableChanges, bytes: Buffer, host: string): void {
    const isNew = this.#board.takeChanges(changes);
    if (isNew && !this.#isSmallFleet && this.#directory.isFar(host)) {
      this.#messenger.sendTo(this.#directory.local, bytes);
    }
  }

  /** What a reader learns is told at once: the others ask the store for it only if they miss it. */
  passOn(changes: TableChanges): void {
    const { all, local } = this.#directory;
    const peers = this.#isSmallFleet ? all : [...local, ...this.#directory.pickFar()];
    this.#messenger.sendPacked(peers, encodeChanges(changes));
  }

  get #isSmallFleet(): boolean {
    return this.#directory.daemons <= SMALL_FLEET;
  }
}

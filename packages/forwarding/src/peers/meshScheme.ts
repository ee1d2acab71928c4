/** A few daemons: each tells all others. */
import type { Peer } from './peerDirectory.js';
import {
  TICK_MS,
  type LoadDatagram,
  type TellingContext,
  type TellingScheme,
} from './tellingScheme.js';

/** Bytes between data centres cost, and work there matters only when the local upstreams are full. */
const REMOTE_TICKS = 4;

/** Even with nothing to tell, so that peers know that we live. */
const IDLE_TICKS = 6;

export class MeshScheme implements TellingScheme {
  readonly tickMs = TICK_MS;

  readonly #context: TellingContext;

  #lastTold = '';

  constructor(context: TellingContext) {
    this.#context = context;
  }

  tick(ticks: number): void {
    const { readOwnLoads, board, directory } = this.#context;
    const isRemoteDue = ticks % REMOTE_TICKS === 0;
    const content = JSON.stringify([[...readOwnLoads()], board.own]);
    const isIdle = content === this.#lastTold && ticks % IDLE_TICKS !== 0;
    if (!isIdle || isRemoteDue) {
      this.#lastTold = content;
      this.#tell(isRemoteDue ? directory.all : directory.local);
    }
  }

  tellWork(): void {
    this.#tell(this.#context.directory.local);
  }

  tellNews(): void {
    this.#tell(this.#context.directory.all);
  }

  take({ message }: LoadDatagram, nowMs: number): void {
    if (message.scope === 'own') {
      this.#context.loads.take(message, nowMs);
      this.#context.board.take(message, nowMs);
    }
  }

  notePause(): void {
    // Each daemon tells its own: what was missed comes with the next message of each.
  }

  #tell(peers: readonly Peer[]): void {
    const { messenger, readOwnLoads, readOwnLearned, board } = this.#context;
    const learned = readOwnLearned();
    const content = { loads: readOwnLoads(), news: board.own, readers: [], members: 0, learned };
    messenger.tell(peers, { ...content, scope: 'own' });
  }
}

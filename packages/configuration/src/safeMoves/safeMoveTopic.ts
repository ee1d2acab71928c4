/** The gossip topic that compares safe moves with each peer. */
import type { GossipTopic } from '@snipehaven/membership';
import {
  safeMoveGossipSchema,
  type Member,
  type SafeMoveBatch,
  type SafeMoveGossip,
} from '@snipehaven/protocol';
import { guardForm } from '../restoreChange.js';
import type { SafeMoveState } from './safeMoveState.js';

/** At most one message with all moves in this time: a mismatch may have many peers at once. */
const FULL_PUSH_INTERVAL_MS = 1_000;

export class SafeMoveTopic implements GossipTopic {
  readonly name = 'safeMoves';

  readonly #state: SafeMoveState;

  readonly #freshMs: number;

  /** Sends moves to one peer. */
  readonly #push: (peer: Member, batch: SafeMoveBatch) => void;

  #pushedAtMs = 0;

  constructor(
    state: SafeMoveState,
    freshMs: number,
    push: (peer: Member, batch: SafeMoveBatch) => void,
  ) {
    this.#state = state;
    this.#freshMs = freshMs;
    this.#push = push;
  }

  getPayload(): SafeMoveGossip {
    const keys = this.#state.listRecentKeys(Date.now() - this.#freshMs);
    const digest = this.#state.getDigest();
    return keys.length > 0 ? { digest, recent: this.#state.listBatch(keys) } : { digest };
  }

  mergePayload(payload: unknown, from: Member): void {
    const gossip = guardForm('gossip', () => safeMoveGossipSchema.parse(payload));
    if (gossip.recent) {
      this.#state.merge(gossip.recent);
    }
    const isDue = Date.now() - this.#pushedAtMs >= FULL_PUSH_INTERVAL_MS;
    if (gossip.digest !== this.#state.getDigest() && isDue) {
      this.#pushedAtMs = Date.now();
      this.#push(from, this.#state.listBatch());
    }
  }
}

/** Gossip topic that compares the safe moves with each peer. */
import type { GossipTopic } from '@snipehaven/membership';
import {
  safeMoveGossipSchema,
  type Member,
  type SafeMoveBatch,
  type SafeMoveGossip,
} from '@snipehaven/protocol';
import { checkFormat } from '../restoreChange.js';
import type { SafeMoveState } from './safeMoveState.js';

/** Minimum interval between pushes of all moves, because many peers may differ at the same time. */
const FULL_PUSH_INTERVAL_MS = 1_000;

export class SafeMoveTopic implements GossipTopic {
  readonly name = 'safeMoves';

  readonly #state: SafeMoveState;

  readonly #repeatMs: number;

  readonly #push: (peer: Member, batch: SafeMoveBatch) => void;

  #fullPushAtMs = 0;

  constructor(
    state: SafeMoveState,
    repeatMs: number,
    push: (peer: Member, batch: SafeMoveBatch) => void,
  ) {
    this.#state = state;
    this.#repeatMs = repeatMs;
    this.#push = push;
  }

  getPayload(): SafeMoveGossip {
    const keys = this.#state.listRecentKeys(Date.now() - this.#repeatMs);
    const digest = this.#state.getDigest();
    return keys.length > 0 ? { digest, recent: this.#state.listBatch(keys) } : { digest };
  }

  mergePayload(payload: unknown, from: Member): void {
    const gossip = checkFormat('gossip', () => safeMoveGossipSchema.parse(payload));
    if (gossip.recent) {
      this.#state.merge(gossip.recent);
    }
    const isDue = Date.now() - this.#fullPushAtMs >= FULL_PUSH_INTERVAL_MS;
    if (gossip.digest !== this.#state.getDigest() && isDue) {
      this.#fullPushAtMs = Date.now();
      this.#push(from, this.#state.listBatch());
    }
  }
}

/** Safe moves known to a daemon, merged from all sources. */
import { createHash } from 'node:crypto';
import { getErrorMessage, invariant, type Logger } from '@snipehaven/common';
import type { SafeMove, SafeMoveBatch } from '@snipehaven/protocol';
import type { SafeMoveKind, SafeMoveStatus } from '../types.js';
import { compareSafeMoves, joinSafeMoves } from './joinSafeMoves.js';

interface Entry {
  readonly move: SafeMove;
  readonly isDurable: boolean;
  readonly changedAtMs: number;
}

export type SafeMoveListener = (move: SafeMove) => void;

const DIGEST_LENGTH = 16;

export const getSafeMoveKey = (kind: SafeMoveKind, subject: string): string => `${kind}/${subject}`;

const toStatus = ({ move, isDurable }: Entry): SafeMoveStatus => ({
  move,
  durability: isDurable ? 'durable' : 'notDurableYet',
});

export class SafeMoveState {
  readonly #logger: Logger;

  readonly #entries = new Map<string, Entry>();

  readonly #listeners = new Set<SafeMoveListener>();

  #digest: string | undefined;

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  get(key: string): SafeMoveStatus | undefined {
    const entry = this.#entries.get(key);
    return entry && toStatus(entry);
  }

  isActive(key: string): boolean {
    return this.#entries.get(key)?.move.isActive === true;
  }

  list(): readonly SafeMoveStatus[] {
    return [...this.#entries.values()].map(toStatus);
  }

  /** Builds a message with all moves, or with those of the given keys. */
  listBatch(keys: Iterable<string> = this.#entries.keys()): SafeMoveBatch {
    const entries = [...keys]
      .map((key) => this.#entries.get(key))
      .filter((entry) => entry !== undefined);
    return {
      moves: entries.map(({ move }) => move),
      durableKeys: entries.filter(({ isDurable }) => isDurable).map(({ move }) => move.key),
    };
  }

  listRecentKeys(sinceMs: number): readonly string[] {
    return [...this.#entries.values()]
      .filter(({ changedAtMs }) => changedAtMs >= sinceMs)
      .map(({ move }) => move.key);
  }

  listNotDurableKeys(): readonly string[] {
    return [...this.#entries.values()]
      .filter(({ isDurable }) => !isDurable)
      .map(({ move }) => move.key);
  }

  /** Digest that is equal on two daemons if they know the same moves and durability. */
  getDigest(): string {
    this.#digest ??= this.#computeDigest();
    return this.#digest;
  }

  onChange(listener: SafeMoveListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Merges moves in any order and any number of times; returns the keys that changed. */
  merge({ moves, durableKeys }: SafeMoveBatch): readonly string[] {
    const durable = new Set(durableKeys);
    return moves
      .filter((move) => this.#mergeOne(move, durable.has(move.key)))
      .map((move) => move.key);
  }

  /** Records that exactly this move is stored in the table. */
  markDurable(move: SafeMove): void {
    this.#mergeOne(move, true);
  }

  /** Returns whether the known move changed, regardless of its durability. */
  #mergeOne(move: SafeMove, isDurable: boolean): boolean {
    const entry = this.#entries.get(move.key);
    const joined = entry ? joinSafeMoves(entry.move, move) : move;
    invariant(
      !entry || compareSafeMoves(joined, entry.move) >= 0,
      'noWithdrawnWork',
      `safe move ${move.key} went back to before generation ${entry?.move.generation}`,
    );
    const isChanged = !entry || compareSafeMoves(joined, entry.move) !== 0;
    const isSame = compareSafeMoves(joined, move) === 0;
    const isNowDurable = (isSame && isDurable) || (!isChanged && entry?.isDurable === true);
    if (isChanged || isNowDurable !== entry?.isDurable) {
      this.#put({ move: joined, isDurable: isNowDurable, changedAtMs: Date.now() });
    }
    if (isChanged) {
      this.#notify(joined);
    }
    return isChanged;
  }

  #put(entry: Entry): void {
    this.#entries.set(entry.move.key, entry);
    this.#digest = undefined;
  }

  #computeDigest(): string {
    const texts = [...this.#entries.values()].map(({ move, isDurable }) =>
      JSON.stringify([move.key, move.generation, move.isActive, move.atMs, move.by, isDurable]),
    );
    const hash = createHash('sha256').update(texts.sort().join('\n'));
    return hash.digest('base64url').slice(0, DIGEST_LENGTH);
  }

  #notify(move: SafeMove): void {
    this.#listeners.forEach((listener) => {
      try {
        listener(move);
      } catch (error) {
        this.#logger.error({ fault: getErrorMessage(error) }, 'safe move listener failed');
      }
    });
  }
}

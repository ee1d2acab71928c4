/** Safe moves in memory. */
import { ConfigurationUnavailableError } from '@snipehaven/configuration';
import type { SafeMoveKind, SafeMoves, SafeMoveStatus } from '@snipehaven/configuration';
import type { SafeMove } from '@snipehaven/protocol';

export class FakeSafeMoves implements SafeMoves {
  isTableAway = false;

  readonly #marks = new Map<string, SafeMoveStatus>();

  readonly #listeners = new Set<(move: SafeMove) => void>();

  async activate(kind: SafeMoveKind, subject: string, reason: string, by: string) {
    return this.#set(`${kind}/${subject}`, true, reason, by);
  }

  async lift(kind: SafeMoveKind, subject: string, reason: string, by: string) {
    if (this.isTableAway) {
      throw new ConfigurationUnavailableError('the table is away');
    }
    return this.#set(`${kind}/${subject}`, false, reason, by);
  }

  isActive(kind: SafeMoveKind, subject: string): boolean {
    return this.#marks.get(`${kind}/${subject}`)?.move.isActive ?? false;
  }

  isVersionBlocked(version: string): boolean {
    return this.isActive('withdraw', version) || this.isActive('quarantine', version);
  }

  list(): readonly SafeMoveStatus[] {
    return [...this.#marks.values()];
  }

  onChange(listener: (move: SafeMove) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #set(key: string, isActive: boolean, reason: string, by: string): SafeMoveStatus {
    const generation = (this.#marks.get(key)?.move.generation ?? 0) + 1;
    const move = { key, generation, isActive, reason, by, atMs: 3_000 };
    const durability = this.isTableAway ? 'notDurableYet' : 'durable';
    const status: SafeMoveStatus = { move, durability };
    this.#marks.set(key, status);
    this.#listeners.forEach((listener) => listener(move));
    return status;
  }
}

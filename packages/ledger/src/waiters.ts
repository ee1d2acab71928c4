/** Callers that wait until a record is replicated. */
type Resolve = () => void;

export class Waiters {
  readonly #waiting = new Map<string, readonly Resolve[]>();

  wait(id: string): Promise<void> {
    return new Promise((resolve) => {
      this.#add(id, [resolve]);
    });
  }

  /** Removes and returns the callers waiting for these ids; later callers wait for the next message. */
  take(ids: readonly string[]): ReadonlyMap<string, readonly Resolve[]> {
    const taken = new Map<string, readonly Resolve[]>();
    ids.forEach((id) => {
      taken.set(id, this.#waiting.get(id) ?? []);
      this.#waiting.delete(id);
    });
    return taken;
  }

  putBack(taken: ReadonlyMap<string, readonly Resolve[]>): void {
    taken.forEach((resolves, id) => this.#add(id, resolves));
  }

  resolve(id: string): void {
    this.#waiting.get(id)?.forEach((resolve) => resolve());
    this.#waiting.delete(id);
  }

  resolveAll(): void {
    [...this.#waiting.keys()].forEach((id) => this.resolve(id));
  }

  #add(id: string, resolves: readonly Resolve[]): void {
    this.#waiting.set(id, [...(this.#waiting.get(id) ?? []), ...resolves]);
  }
}

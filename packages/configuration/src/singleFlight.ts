/** Deduplicates concurrent runs of the same task. */
export class SingleFlight {
  readonly #running = new Map<string, Promise<void>>();

  /** Runs the task, or returns the pending run with the same key. */
  run(key: string, task: () => Promise<void>): Promise<void> {
    const running = this.#running.get(key);
    if (running) {
      return running;
    }
    const started = task().finally(() => this.#running.delete(key));
    this.#running.set(key, started);
    return started;
  }
}

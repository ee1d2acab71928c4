/** Joins callers that ask for the same thing at the same time. */
export class SingleFlight {
  readonly #running = new Map<string, Promise<void>>();

  /** Runs the task, or joins the run under way with the same key. */
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

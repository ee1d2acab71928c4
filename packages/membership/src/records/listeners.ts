/** A set of event listeners. */
import { getErrorMessage, type Logger } from '@snipehaven/common';

export class Listeners<Event> {
  readonly #listeners = new Set<(event: Event) => void>();

  readonly #logger: Logger;

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  /** Adds a listener and returns the function that removes it. */
  add(listener: (event: Event) => void): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** Calls all listeners, even if one of them throws. */
  notify(event: Event): void {
    this.#listeners.forEach((listener) => {
      try {
        listener(event);
      } catch (error) {
        this.#logger.error({ error: getErrorMessage(error) }, 'membership listener failed');
      }
    });
  }
}

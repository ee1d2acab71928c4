/** The tries of one write. */
import { PlatformOutcomeUnknownError } from '@snipehaven/platform';

/** What is known of one write over its tries. */
export class WriteProgress {
  readonly #deadlineMs: number;

  #failures = 0;

  #mayHaveWritten = false;

  constructor(deadlineMs: number) {
    this.#deadlineMs = deadlineMs;
  }

  /** Whether a try went out whose answer was lost. */
  get mayHaveWritten(): boolean {
    return this.#mayHaveWritten;
  }

  isOver(): boolean {
    return Date.now() >= this.#deadlineMs;
  }

  /** Counts a failed try; returns how many came before. */
  nextFailure(): number {
    this.#failures += 1;
    return this.#failures - 1;
  }

  noteFault(error: unknown): void {
    this.#mayHaveWritten ||= error instanceof PlatformOutcomeUnknownError;
  }
}

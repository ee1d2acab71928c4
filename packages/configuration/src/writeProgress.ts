import { PlatformOutcomeUnknownError } from '@snipehaven/platform';

/** Tracks the attempts of one write. */
export class WriteProgress {
  readonly #deadlineMs: number;

  #failures = 0;

  #mayHaveWritten = false;

  constructor(deadlineMs: number) {
    this.#deadlineMs = deadlineMs;
  }

  /** Whether an attempt was sent whose reply was lost, so that it may have taken effect. */
  get mayHaveWritten(): boolean {
    return this.#mayHaveWritten;
  }

  isExpired(): boolean {
    return Date.now() >= this.#deadlineMs;
  }

  /** Counts a failed attempt; returns the number of earlier failures. */
  countFailure(): number {
    this.#failures += 1;
    return this.#failures - 1;
  }

  recordError(error: unknown): void {
    this.#mayHaveWritten ||= error instanceof PlatformOutcomeUnknownError;
  }
}

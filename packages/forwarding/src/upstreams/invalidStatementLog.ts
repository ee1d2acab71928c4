/** Logs what upstreams say of themselves and is not understood, at a bounded rate. */
import type { Logger } from '@snipehaven/common';
import type { UpstreamEntry } from './upstreamEntry.js';

/** Longer values are cut off. */
const MAX_LOGGED_CHARS = 40;

const MIN_INTERVAL_MS = 1_000;

export class InvalidStatementLog {
  readonly #logger: Logger;

  readonly #subject: string;

  #loggedAtMs = -Infinity;

  /** `subject`: what the statements are about. */
  constructor(logger: Logger, subject: string) {
    this.#logger = logger;
    this.#subject = subject;
  }

  add(entry: UpstreamEntry, text: string): void {
    const nowMs = performance.now();
    if (nowMs - this.#loggedAtMs < MIN_INTERVAL_MS) {
      return;
    }
    this.#loggedAtMs = nowMs;
    this.#logger.warn(
      {
        event: 'statementInvalid',
        subject: this.#subject,
        upstream: entry.id,
        text: text.slice(0, MAX_LOGGED_CHARS),
      },
      'ignored a statement of an upstream: not a number, or out of bounds',
    );
  }
}

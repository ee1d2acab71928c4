/** Follows which upstreams state in their answers that they are leaving. */
import type { Logger } from '@snipehaven/common';
import type { UpstreamEntry } from './upstreamEntry.js';

export class LeavingTracker {
  readonly #logger: Logger;

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  /** Records that an answer of the upstream said so. */
  recordAnswer(entry: UpstreamEntry): void {
    this.#mark(entry, performance.now());
  }

  #mark(entry: UpstreamEntry, sinceMs: number): void {
    if (entry.statements.markLeaving(sinceMs)) {
      this.#logger.info(
        {
          event: 'upstreamLeaving',
          upstream: entry.id,
          life: entry.lifeId,
          state: entry.upstream.state,
          ageMs: Math.round(performance.now() - sinceMs),
        },
        'an upstream has said that it is leaving',
      );
    }
  }
}

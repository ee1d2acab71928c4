/**
 * Follows which upstreams state in their answers that they are leaving, and tells the other daemons,
 * which would each lose requests there before they hear it themselves.
 */
import type { Logger } from '@snipehaven/common';
import type { LeavingNews } from '../peers/index.js';
import type { UpstreamDirectory } from './upstreamDirectory.js';
import type { UpstreamEntry } from './upstreamEntry.js';

/** News is sent once more after this, as a daemon that missed it would not ask. */
const REPEAT_DELAY_MS = 300;

export interface LeavingTrackerOptions {
  readonly logger: Logger;
  readonly directory: UpstreamDirectory;
  broadcast(news: readonly LeavingNews[]): void;
}

export class LeavingTracker {
  readonly #options: LeavingTrackerOptions;

  constructor(options: LeavingTrackerOptions) {
    this.#options = options;
  }

  /** Records that an answer of the upstream said so. */
  recordAnswer(entry: UpstreamEntry): void {
    const sinceMs = performance.now();
    if (this.#mark(entry, sinceMs, 'answer')) {
      this.#tell(entry.lifeId, sinceMs);
      setTimeout(() => this.#tell(entry.lifeId, sinceMs), REPEAT_DELAY_MS).unref();
    }
  }

  /** Applies what other daemons heard. */
  receive(news: readonly LeavingNews[]): void {
    news.forEach(({ lifeId, sinceMs }) => {
      const entry = this.#options.directory.findIncarnation(lifeId);
      if (entry !== undefined) {
        this.#mark(entry, performance.now() - sinceMs, 'peer');
      }
    });
  }

  #tell(lifeId: string, sinceMs: number): void {
    this.#options.broadcast([{ lifeId, sinceMs: performance.now() - sinceMs }]);
  }

  #mark(entry: UpstreamEntry, sinceMs: number, source: 'answer' | 'peer'): boolean {
    const isNew = entry.statements.markLeaving(sinceMs);
    if (isNew) {
      this.#options.logger.info(
        {
          event: 'upstreamLeaving',
          upstream: entry.id,
          life: entry.lifeId,
          state: entry.upstream.state,
          source,
          ageMs: Math.round(performance.now() - sinceMs),
        },
        'an upstream has said that it is leaving',
      );
    }
    return isNew;
  }
}

/** Logs when several connections to one upstream end together. */
import type { Logger } from '@snipehaven/common';
import { END_TOGETHER_MS } from '../constants.js';
import type { ConnectionEnd } from '../exchange/index.js';

/** Bounds the length of a log line. */
const MAX_LOGGED_ATTEMPTS = 8;

const count = (ends: readonly ConnectionEnd[], ending: ConnectionEnd['ending']): number =>
  ends.filter((end) => end.ending === ending).length;

export class ConnectionEndReporter {
  readonly #logger: Logger;

  readonly #upstreamId: string;

  #group: ConnectionEnd[] = [];

  constructor(logger: Logger, upstreamId: string) {
    this.#logger = logger;
    this.#upstreamId = upstreamId;
  }

  record(end: ConnectionEnd): void {
    if (this.#group.length === 0) {
      setTimeout(() => this.#report(), END_TOGETHER_MS).unref();
    }
    this.#group.push(end);
  }

  #report(): void {
    const group = this.#group;
    this.#group = [];
    const attempts = group.flatMap(({ attemptId }) => attemptId ?? []);
    if (group.length > 1 && attempts.length > 0) {
      this.#logger.info({
        event: 'connectionsEnded',
        upstream: this.#upstreamId,
        closed: count(group, 'closed'),
        reset: count(group, 'reset'),
        idle: group.length - attempts.length,
        requests: attempts.slice(0, MAX_LOGGED_ATTEMPTS),
      });
    }
  }
}

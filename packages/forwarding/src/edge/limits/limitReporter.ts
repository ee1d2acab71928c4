/** Counts where a limit on callers strikes, and logs it: a line a second at most for each limit. */
import type { Logger } from '@snipehaven/common';
import { REPORT_INTERVAL_MS } from './constants.js';
import type { CallerLimit } from './types.js';

export type CountLimited = (limit: CallerLimit) => void;

interface Unreported {
  loggedAtMs: number;
  times: number;
}

export class LimitReporter {
  readonly #logger: Logger;

  readonly #count: CountLimited;

  /** The listening port's name in log lines. */
  readonly #port: string;

  readonly #unreported = new Map<CallerLimit, Unreported>();

  constructor(logger: Logger, count: CountLimited, port: string) {
    this.#logger = logger;
    this.#count = count;
    this.#port = port;
  }

  /** `caller`: address of the client that met the limit. */
  report(limit: CallerLimit, caller: string | undefined): void {
    this.#count(limit);
    const nowMs = performance.now();
    const unreported = this.#unreported.get(limit) ?? { loggedAtMs: -Infinity, times: 0 };
    this.#unreported.set(limit, unreported);
    unreported.times += 1;
    if (nowMs - unreported.loggedAtMs < REPORT_INTERVAL_MS) {
      return;
    }
    this.#logger.warn(
      { event: 'callerLimit', limit, port: this.#port, times: unreported.times, caller },
      'a client met a limit of what callers may make this process hold',
    );
    Object.assign(unreported, { loggedAtMs: nowMs, times: 0 });
  }
}

/**
 * Follows for how long upstreams that turned a request away want none from this daemon. Other
 * daemons are not told: each upstream decides for each daemon.
 */
import type { Logger } from '@snipehaven/common';
import type { StatedBackOff } from '../types.js';
import { InvalidStatementLog } from './invalidStatementLog.js';
import type { UpstreamEntry } from './upstreamEntry.js';

export class BackOffTracker {
  readonly #logger: Logger;

  readonly #invalidLog: InvalidStatementLog;

  constructor(logger: Logger) {
    this.#logger = logger;
    this.#invalidLog = new InvalidStatementLog(logger, 'backOff');
  }

  /** Records what an answer said; `sentAtMs`: when its request was sent. */
  recordAnswer(entry: UpstreamEntry, stated: StatedBackOff, sentAtMs: number): void {
    if (stated.kind === 'invalid') {
      this.#invalidLog.add(entry, stated.text);
      return;
    }
    const { backOff } = entry.statements;
    if (stated.kind === 'none') {
      backOff.recordAccepted(sentAtMs);
      return;
    }
    const { delayMs } = stated;
    if (backOff.extend(delayMs, performance.now())) {
      this.#logger.info(
        { event: 'upstreamBackOff', upstream: entry.id, life: entry.lifeId, delayMs },
        'an upstream that turned a request away wants none for a while',
      );
    }
  }
}

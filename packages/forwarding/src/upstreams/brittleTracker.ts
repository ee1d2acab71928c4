/**
 * Follows which upstreams fall over when they have to turn many requests away, and pauses sending to one
 * that has turned a request of this daemon away.
 */
import type { Logger } from '@snipehaven/common';
import { getBrittlePauseMs } from '@snipehaven/policy';
import type { StatedBrittleness } from '../types.js';
import { InvalidStatementLog } from './invalidStatementLog.js';
import type { FleetMembership } from './types.js';
import type { UpstreamEntry } from './upstreamEntry.js';

/** What one answer said. */
export interface BrittleAnswer {
  readonly stated: StatedBrittleness;
  /** The upstream did not run the request. */
  readonly isTurnedAway: boolean;
  /** When the request was sent. */
  readonly sentAtMs: number;
}

export class BrittleTracker {
  readonly #logger: Logger;

  readonly #fleet: FleetMembership;

  readonly #invalidLog: InvalidStatementLog;

  constructor(logger: Logger, fleet: FleetMembership) {
    this.#logger = logger;
    this.#fleet = fleet;
    this.#invalidLog = new InvalidStatementLog(logger, 'brittle');
  }

  recordAnswer(entry: UpstreamEntry, { stated, isTurnedAway, sentAtMs }: BrittleAnswer): void {
    if (stated.kind === 'invalid') {
      this.#invalidLog.add(entry, stated.text);
      return;
    }
    const { brittle, backOff } = entry.statements;
    const rejectionsPerS = stated.kind === 'brittle' ? stated.rejectionsPerS : undefined;
    if (brittle.apply(rejectionsPerS, sentAtMs)) {
      this.#logger.info(
        { event: 'upstreamBrittle', upstream: entry.id, life: entry.lifeId, rejectionsPerS },
        'an upstream says how many requests it can turn away, or no longer does',
      );
    }
    if (isTurnedAway && rejectionsPerS !== undefined) {
      const { daemons } = this.#fleet;
      backOff.extend(getBrittlePauseMs({ rejectionsPerS, daemons }), performance.now());
    }
  }
}

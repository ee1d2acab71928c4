/** Deletes old claims from the table: a duty that one daemon of a data centre does for all. */
import { getErrorMessage, sleep, type Logger, type Random } from '@snipehaven/common';
import type { TableClaimStore } from '@snipehaven/claims';
import type { MembershipView } from '@snipehaven/membership';

export interface ClaimCleanerOptions {
  readonly claims: Pick<TableClaimStore, 'cleanUp'>;
  readonly membership: Pick<MembershipView, 'ownsDuty'>;
  readonly logger: Logger;
  readonly random: Random;
}

const DUTY = 'claimCleaning';
const INTERVAL_MS = 60_000;
const JITTER_MS = 15_000;

/** Rounds are far apart and bounded, so that cleaning takes little of the table's write rate. */
export class ClaimCleaner {
  readonly #options: ClaimCleanerOptions;

  readonly #stopped = new AbortController();

  constructor(options: ClaimCleanerOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#run(this.#stopped.signal);
  }

  stop(): void {
    this.#stopped.abort();
  }

  async #run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(INTERVAL_MS + this.#options.random.next() * JITTER_MS, signal);
      if (!signal.aborted && this.#options.membership.ownsDuty(DUTY)) {
        await this.#cleanOnce();
      }
    }
  }

  async #cleanOnce(): Promise<void> {
    try {
      await this.#options.claims.cleanUp(Date.now());
    } catch (error) {
      this.#options.logger.debug({ error: getErrorMessage(error) }, 'cleaning claims failed');
    }
  }
}

/** Polls the head row of the table for new revisions. */
import { getErrorMessage, type Logger, type Random } from '@snipehaven/common';
import type { MembershipView } from '@snipehaven/membership';
import type { ResourceChange } from '@snipehaven/resources';
import { getBackoffMs, runRepeatedly } from './backoff.js';
import type { ConfigurationSettings } from './constants.js';
import type { ContactTracker } from './contactTracker.js';
import type { ReplicaState } from './replicaState.js';
import type { Synchroniser } from './synchroniser.js';
import type { TableReader } from './tableReader.js';

export interface PollerOptions {
  readonly reader: TableReader;
  readonly state: ReplicaState;
  readonly contact: ContactTracker;
  readonly synchroniser: Synchroniser;
  readonly membership: MembershipView;
  readonly random: Random;
  readonly logger: Logger;
  readonly settings: ConfigurationSettings;
  /** Sends changes that were found by polling to the peers in the data centre. */
  readonly broadcastLocally: (changes: readonly ResourceChange[]) => Promise<void>;
  /** Loads all safe moves from the table. */
  readonly loadSafeMoves: () => Promise<void>;
}

export const POLL_DUTY = 'configurationPoll';
const MS_PER_SECOND = 1_000;
/** Decay factor of the peak member count per poll. */
const PEAK_DECAY = 0.99;
const JITTER = 0.25;

export class Poller {
  readonly #options: PollerOptions;

  /**
   * If data centres are partitioned from each other, each sees only its own members, and all would
   * poll as often as a small deployment, which exceeds the read budget of the table several times
   * over. The interval therefore uses a slowly decaying peak of the member count.
   */
  #peakMembers = 1;

  #failures = 0;

  /**
   * Set after an outage, and after booting from another source, when the table may contain
   * withdrawals unknown here.
   */
  #mustLoadSafeMoves = true;

  constructor(options: PollerOptions) {
    this.#options = options;
  }

  run(signal: AbortSignal): Promise<void> {
    return runRepeatedly(async () => {
      await this.#poll();
      return this.#getWaitMs();
    }, signal);
  }

  /** Mean interval between the polls of this daemon. */
  getIntervalMs(): number {
    const { membership, settings } = this.#options;
    const members = membership.listAlive().length;
    this.#peakMembers = Math.max(members, this.#peakMembers * PEAK_DECAY);
    const sharedMs = (this.#peakMembers / settings.pollReadsPerSecond) * MS_PER_SECOND;
    return membership.ownsDuty(POLL_DUTY)
      ? settings.minPollMs
      : Math.max(settings.minPollMs, sharedMs);
  }

  #getWaitMs(): number {
    const { settings, random } = this.#options;
    const intervalMs = this.getIntervalMs();
    const jitteredMs = intervalMs * (1 - JITTER + 2 * JITTER * random.next());
    return this.#failures === 0
      ? jitteredMs
      : Math.max(
          jitteredMs,
          getBackoffMs(this.#failures, settings.minPollMs, settings.maxPollBackoffMs, random),
        );
  }

  async #poll(): Promise<void> {
    try {
      await this.#loadSafeMovesIfNeeded();
      await this.#checkHead();
      this.#failures = 0;
    } catch (error) {
      this.#failures += 1;
      this.#mustLoadSafeMoves = true;
      this.#options.logger.warn({ fault: getErrorMessage(error) }, 'could not poll the table');
    }
  }

  async #loadSafeMovesIfNeeded(): Promise<void> {
    if (this.#mustLoadSafeMoves) {
      await this.#options.loadSafeMoves();
      this.#mustLoadSafeMoves = false;
    }
  }

  async #checkHead(): Promise<void> {
    const { reader, state, contact } = this.#options;
    const head = await reader.readHead();
    contact.recordTableContact();
    state.observeHead(head.revision);
    if (head.revision > state.revision) {
      await this.#catchUp(head.revision);
    }
  }

  async #catchUp(headRevision: number): Promise<void> {
    const { state, synchroniser, membership, broadcastLocally } = this.#options;
    const before = state.revision;
    await synchroniser.catchUpTo(headRevision);
    const changes = state.listChanges(before);
    if (changes && changes.length > 0 && membership.ownsDuty(POLL_DUTY)) {
      await broadcastLocally(changes);
    }
  }
}

/** Polls the head row of the table. */
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
  /** Gives changes that no push brought to the peers of the data centre. */
  readonly passOn: (changes: readonly ResourceChange[]) => Promise<void>;
  /** Reads all safe moves from the table. */
  readonly loadSafeMoves: () => Promise<void>;
}

export const POLL_DUTY = 'configurationPoll';
const MS_PER_SECOND = 1_000;
/** How much of the highest member count remains after each poll. */
const PEAK_DECAY = 0.99;
const JITTER = 0.25;

export class Poller {
  readonly #options: PollerOptions;

  /**
   * What goes wrong: data centres lose each other, each counts its own members alone, and all poll as
   * often as a small deployment may; the table gets several times its share. The interval therefore
   * follows the highest count of the last minutes.
   */
  #peakMembers = 1;

  #failures = 0;

  /** After an outage, and after a boot from elsewhere, the table may know of more withdrawals. */
  #needsSafeMoves = true;

  constructor(options: PollerOptions) {
    this.#options = options;
  }

  run(signal: AbortSignal): Promise<void> {
    return runRepeatedly(async () => {
      await this.#poll();
      return this.#getWaitMs();
    }, signal);
  }

  /** The mean wait between polls of this daemon. */
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
      await this.#readSafeMoves();
      await this.#compareHead();
      this.#failures = 0;
    } catch (error) {
      this.#failures += 1;
      this.#needsSafeMoves = true;
      this.#options.logger.warn({ fault: getErrorMessage(error) }, 'polling the table failed');
    }
  }

  async #readSafeMoves(): Promise<void> {
    if (this.#needsSafeMoves) {
      await this.#options.loadSafeMoves();
      this.#needsSafeMoves = false;
    }
  }

  async #compareHead(): Promise<void> {
    const { reader, state, contact } = this.#options;
    const head = await reader.readHead();
    contact.noteTable();
    state.observeHead(head.revision);
    if (head.revision > state.revision) {
      await this.#catchUp(head.revision);
    }
  }

  async #catchUp(headRevision: number): Promise<void> {
    const { state, synchroniser, membership, passOn } = this.#options;
    const before = state.revision;
    await synchroniser.catchUpTo(headRevision);
    const changes = state.listChanges(before);
    if (changes && changes.length > 0 && membership.ownsDuty(POLL_DUTY)) {
      await passOn(changes);
    }
  }
}

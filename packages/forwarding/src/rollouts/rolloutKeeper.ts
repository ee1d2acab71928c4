/**
 * Writes the roll-out status that the operator reads. There is no elected writer: each daemon
 * writes what the schedule or its evidence requires after a wait; the first conditional write wins,
 * and the others see the new row and stop. In a small fleet the waits are random. In a large one
 * each daemon waits for all daemons before it in an order known to all, since with random waits 39
 * of 195 daemons wrote at the first tick.
 */
import { getErrorMessage, type Logger, type Random } from '@snipehaven/common';
import type { Freshness } from '../configuration/freshness.js';
import type { BadVersionMessage } from '../peers/index.js';
import type { RolloutState } from '../types.js';
import { describeCounts } from './describeCounts.js';
import type { RolloutTracker } from './rolloutTracker.js';
import type { ServiceRollout } from './serviceRollout.js';
import type { RolloutWriter } from './types.js';

/** Interval of checks for due writes; the longest random wait, in ticks, is `MAX_WAIT_TICKS`. */
const TICK_MS = 250;
const MAX_WAIT_TICKS = 5;

/**
 * Wait per daemon that is earlier in the order: a row is written and known everywhere within this
 * time.
 */
const TICKS_PER_RANK = 3;

/** Bad answers within this time are combined in one write. */
const EVIDENCE_DELAY_MS = 200;

/**
 * Time after the start during which a daemon completes no roll-out: other daemons may have found
 * the version bad without reaching the store. They send this to one daemon each at every tick, so
 * that it arrives within this time.
 */
const STARTUP_LISTEN_MS = 3_000;

interface PendingWrite {
  readonly state: RolloutState;
  ticksLeft: number;
}

export class RolloutKeeper {
  readonly #tracker: RolloutTracker;

  readonly #writer: RolloutWriter;

  readonly #vm: string;

  readonly #freshness: Freshness;

  readonly #logger: Logger;

  readonly #random: Random;

  readonly #getWriterRank: () => number | undefined;

  readonly #tellBadVersion: (news: BadVersionMessage) => void;

  readonly #startedAtMs = performance.now();

  readonly #pendingWrites = new Map<ServiceRollout, PendingWrite>();

  /** Roll-outs already logged as due but unproven. */
  readonly #loggedUnproven = new WeakSet<ServiceRollout>();

  #timer: NodeJS.Timeout | undefined;

  readonly #pendingEvidence = new Set<ServiceRollout>();

  constructor(options: {
    tracker: RolloutTracker;
    writer: RolloutWriter;
    vm: string;
    freshness: Freshness;
    logger: Logger;
    random: Random;
    /** Number of daemons that write before this one; undefined in a small fleet. */
    getWriterRank: () => number | undefined;
    /** Sends the verdict to one other daemon. */
    tellBadVersion: (news: BadVersionMessage) => void;
  }) {
    this.#tracker = options.tracker;
    this.#writer = options.writer;
    this.#vm = options.vm;
    this.#freshness = options.freshness;
    this.#logger = options.logger;
    this.#random = options.random;
    this.#getWriterRank = options.getWriterRank;
    this.#tellBadVersion = options.tellBadVersion;
  }

  start(): void {
    this.#tracker.onBadAnswer((rollout) => this.#scheduleEvidenceWrite(rollout));
    this.#tracker.onOrder(() => this.#startTicks());
    this.#startTicks();
  }

  /** Runs only while there are orders, so that an idle daemon is not woken up. */
  #startTicks(): void {
    this.#timer ??= setInterval(() => this.#tick(), TICK_MS).unref();
  }

  #tick(): void {
    if ([...this.#tracker.rollouts].every(({ isStoredStateFinal }) => isStoredStateFinal)) {
      clearInterval(this.#timer);
      this.#timer = undefined;
      this.#pendingWrites.clear();
      return;
    }
    this.#tracker.judgeAll();
    for (const rollout of this.#tracker.rollouts) {
      this.#announceBadVersion(rollout);
      const state = this.#findStateToWrite(rollout);
      if (state !== undefined) {
        this.#scheduleWrite(rollout, state);
      } else {
        this.#pendingWrites.delete(rollout);
      }
    }
  }

  /** Returns the state to be written, if it differs from the row. */
  #findStateToWrite(rollout: ServiceRollout): RolloutState | undefined {
    if (!rollout.isStatusKnown) {
      return rollout.state;
    }
    if (rollout.isStoredStateFinal) {
      return undefined;
    }
    if (rollout.state !== 'running') {
      return rollout.state;
    }
    const { phase } = rollout.getPlace(this.#freshness.ageMs);
    const hasHeard = performance.now() - this.#startedAtMs >= STARTUP_LISTEN_MS;
    // A daemon whose schedule stopped while it was out of contact can reach the end without having
    // tried the version.
    if (phase !== 'closing' || !hasHeard) {
      return undefined;
    }
    if (!rollout.hasFullShareLongEnough || !rollout.isProven) {
      this.#logUnproven(rollout);
      return undefined;
    }
    return 'completed';
  }

  #logUnproven(rollout: ServiceRollout): void {
    if (this.#loggedUnproven.has(rollout)) {
      return;
    }
    this.#loggedUnproven.add(rollout);
    const { order, orderRevision } = rollout;
    const fleet = describeCounts(rollout.fleetCounts);
    this.#logger.warn(
      { event: 'rolloutUnproven', service: order.service, orderRevision, fleet },
      'roll-out is due, but the answers do not yet prove the new version good',
    );
  }

  /**
   * Repeated until the store holds the verdict, as the daemon that found the version bad may not
   * reach the store.
   */
  #announceBadVersion({ state, isStoredStateFinal, order, orderRevision }: ServiceRollout): void {
    if (state === 'rolledBack' && !isStoredStateFinal) {
      this.#tellBadVersion({ service: order.service, orderRevision });
    }
  }

  #scheduleWrite(rollout: ServiceRollout, state: RolloutState): void {
    const known = this.#pendingWrites.get(rollout);
    const pending =
      known?.state === state
        ? known
        : { state, ticksLeft: this.#getInitialWaitTicks(rollout, state) };
    this.#pendingWrites.set(rollout, pending);
    pending.ticksLeft -= 1;
    if (pending.ticksLeft < 0) {
      pending.ticksLeft = MAX_WAIT_TICKS * (1 + (this.#getWriterRank() ?? 0));
      void this.#write(rollout, state);
    }
  }

  /**
   * In a small fleet a roll-back is written without a wait, unless the store has lost it: then all
   * daemons know it.
   */
  #getInitialWaitTicks({ isStatusLost }: ServiceRollout, state: RolloutState): number {
    const rank = this.#getWriterRank();
    if (rank !== undefined) {
      return rank * TICKS_PER_RANK;
    }
    return state === 'rolledBack' && !isStatusLost ? 0 : this.#random.nextInt(MAX_WAIT_TICKS);
  }

  async #write(rollout: ServiceRollout, state: RolloutState): Promise<void> {
    const { order, orderRevision, statusRevision, storedStart, fromVersion } = rollout;
    if (storedStart === undefined) {
      return;
    }
    try {
      const isWritten = await this.#writer.writeStatus(
        {
          service: order.service,
          toVersion: order.toVersion,
          state,
          orderRevision,
          ...storedStart,
          ...(fromVersion === undefined ? {} : { fromVersion }),
        },
        statusRevision,
      );
      this.#logger.info({
        event: 'rolloutStatusWritten',
        service: order.service,
        state,
        isWritten,
      });
    } catch (error) {
      this.#logger.warn({
        event: 'rolloutStatusUnknown',
        service: order.service,
        state,
        cause: getErrorMessage(error),
      });
    }
  }

  #scheduleEvidenceWrite(rollout: ServiceRollout): void {
    if (this.#pendingEvidence.has(rollout)) {
      return;
    }
    this.#pendingEvidence.add(rollout);
    setTimeout(() => {
      this.#pendingEvidence.delete(rollout);
      void this.#writeEvidence(rollout);
    }, EVIDENCE_DELAY_MS).unref();
  }

  async #writeEvidence(rollout: ServiceRollout): Promise<void> {
    const { order, orderRevision, stats } = rollout;
    try {
      await this.#writer.writeEvidence({
        service: order.service,
        vm: this.#vm,
        orderRevision,
        candidate: stats.candidate,
        present: stats.present,
      });
    } catch (error) {
      this.#logger.warn({ event: 'evidenceNotTold', cause: getErrorMessage(error) });
    }
  }
}

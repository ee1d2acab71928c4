/**
 * Persists holds in the store, for daemons that start and for those that missed a report: one row
 * per held request, written once. The daemon that observed the decisive crash writes at once. The
 * others wait for their turn and write if there is no row by then, because that daemon may be gone.
 */
import {
  forgetOldest,
  getErrorMessage,
  type Logger,
  type Random,
  type RequestDigest,
} from '@snipehaven/common';
import type { StoreRevision } from '../store/index.js';
import type { CrashTracker } from './crashTracker.js';
import type { Hold, HoldRecord, HoldWriter } from './types.js';

/** Per preceding daemon: a row is written and known everywhere within this time. */
const WRITE_TURN_MS = 750;

/** In a small fleet, each daemon picks one of this many turns at random. */
const RANDOM_TURNS = 4;

/** Limits the rows that are remembered after their removal. */
const MAX_REMOVED_ROWS = 1_000;

/** Delay before a failed write is retried, plus the delay of this daemon's turn. */
const RETRY_MS = 2_000;

/** Time in which rows that a copy lacks have been written again by daemons that know them. */
const REWRITE_MS = 5_000;

export interface HoldPersisterOptions {
  readonly tracker: CrashTracker;
  readonly writer: HoldWriter;
  readonly vm: string;
  readonly logger: Logger;
  readonly random: Random;
  /** The store's monotonic clock minus ours in ms; undefined until it is known. */
  getStoreOffsetMs(): number | undefined;
  /** Number of daemons that precede this one as writer; undefined in a small fleet. */
  getWriterRank(): number | undefined;
  /** How much later than others this daemon learned that the store came back from a copy, in ms. */
  getEraLateMs(): number;
}

interface KnownRow {
  readonly revision: StoreRevision;
  readonly untilMs: number;
}

interface PendingWrite {
  readonly hold: Hold;
  readonly timer: NodeJS.Timeout;
  readonly dueAtMs: number;
}

export class HoldPersister {
  readonly #options: HoldPersisterOptions;

  /** Rows known to be in the store. */
  readonly #rows = new Map<RequestDigest, KnownRow>();

  /** Revisions of rows that were removed, which a copy may still have. */
  readonly #removed = new Map<RequestDigest, StoreRevision>();

  /** Held requests whose rows the copy lacks, until they are written again. */
  readonly #lost = new Set<RequestDigest>();

  /** Of the last row or complete read of the store. */
  #era = 0;

  /** One for each request. */
  readonly #pendingWrites = new Map<RequestDigest, PendingWrite>();

  readonly #timers = new Set<NodeJS.Timeout>();

  constructor(options: HoldPersisterOptions) {
    this.#options = options;
    options.tracker.addListener({
      onHeld: (hold, source) => {
        this.#lost.delete(hold.digest);
        this.#schedule(hold, source === 'own' ? 0 : this.#pickTurnDelayMs());
      },
      onReleased: (digest, source) => {
        this.#lost.delete(digest);
        if (source === 'own') {
          this.#remove(digest);
        }
      },
    });
  }

  stop(): void {
    this.#timers.forEach(clearTimeout);
  }

  /** Applies a row of the store. */
  applyRecord(record: HoldRecord, revision: StoreRevision, storeOffsetMs: number): void {
    const { digest, lives } = record;
    const untilMs = record.untilStoreMs - storeOffsetMs;
    this.#era = revision.era;
    this.#rows.set(digest, { revision, untilMs });
    this.#lost.delete(digest);
    if (this.#wasRemoved(digest, revision)) {
      this.#runLater(this.#pickTurnDelayMs(), () => {
        if (this.#options.tracker.findHold(digest) === undefined) {
          this.#remove(digest);
        }
      });
      return;
    }
    if (untilMs > performance.now()) {
      this.#options.tracker.applyStoredHold({
        digest,
        lives,
        sinceMs: record.sinceStoreMs - storeOffsetMs,
        untilMs,
      });
    }
  }

  /** Applies the removal of a row by an operator or by the daemon that observed the answer. */
  applyRemoval(digest: RequestDigest): void {
    const row = this.#rows.get(digest);
    if (row !== undefined) {
      this.#rows.delete(digest);
      this.#removed.set(digest, row.revision);
      forgetOldest(this.#removed, MAX_REMOVED_ROWS);
      this.#options.tracker.applyStoredRelease(digest);
    }
  }

  /**
   * The store has come back from a copy with the rows of these digests: the others have not been
   * removed, but are to be written again.
   */
  startEra(digests: readonly RequestDigest[], era: number): void {
    this.#era = era;
    const present = new Set(digests);
    const lost = [...this.#rows.keys()].filter((digest) => !present.has(digest));
    for (const digest of lost) {
      this.#rows.delete(digest);
      const hold = this.#options.tracker.findHold(digest);
      if (hold !== undefined) {
        this.#lost.add(digest);
        this.#schedule(hold, this.#pickTurnDelayMs());
      }
    }
  }

  /**
   * Applies a complete read of the table: known rows that are missing from it have been removed.
   */
  retainOnly(digests: readonly RequestDigest[], era: number): void {
    this.#era = era;
    const present = new Set(digests);
    [...this.#rows.keys()]
      .filter((digest) => !present.has(digest))
      .forEach((digest) => this.applyRemoval(digest));
  }

  /** Whether the row is one of the copy that was removed before the store came back from it. */
  #wasRemoved(digest: RequestDigest, { era, version }: StoreRevision): boolean {
    const removed = this.#removed.get(digest);
    return removed !== undefined && removed.era < era && removed.version === version;
  }

  #pickTurnDelayMs(): number {
    const rank = this.#options.getWriterRank() ?? this.#options.random.nextInt(RANDOM_TURNS);
    return WRITE_TURN_MS * (1 + rank);
  }

  #runLater(delayMs: number, act: () => void): NodeJS.Timeout {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      act();
    }, delayMs).unref();
    this.#timers.add(timer);
    return timer;
  }

  /** Replaces a later write of the same hold, and any of an earlier hold on the request. */
  #schedule(hold: Hold, delayMs: number): void {
    const { digest } = hold;
    const dueAtMs = performance.now() + delayMs;
    const pending = this.#pendingWrites.get(digest);
    if (pending?.hold === hold && pending.dueAtMs <= dueAtMs) {
      return;
    }
    if (pending !== undefined) {
      clearTimeout(pending.timer);
      this.#timers.delete(pending.timer);
    }
    const timer = this.#runLater(delayMs, () => {
      this.#pendingWrites.delete(digest);
      void this.#write(hold);
    });
    this.#pendingWrites.set(digest, { hold, timer, dueAtMs });
  }

  /**
   * Does nothing if another daemon has written the row, or if the request was released. A refused
   * write is repeated unless the row becomes known, as its condition may be of an earlier era.
   */
  async #write(hold: Hold): Promise<void> {
    const { tracker, writer, vm, logger, getStoreOffsetMs, getEraLateMs } = this.#options;
    const { digest, lives, sinceMs, untilMs } = hold;
    const offsetMs = getStoreOffsetMs();
    const known = this.#rows.get(digest);
    const isStored = known !== undefined && known.untilMs > performance.now();
    if (isStored || tracker.findHold(digest) !== hold) {
      return;
    }
    if (this.#lost.has(digest) && getEraLateMs() >= REWRITE_MS) {
      // Others have had the time to write it again, so it has been removed.
      tracker.applyStoredRelease(digest);
      return;
    }
    if (offsetMs === undefined) {
      this.#schedule(hold, RETRY_MS);
      return;
    }
    const record = {
      digest,
      lives,
      vm,
      sinceStoreMs: Math.round(sinceMs + offsetMs),
      untilStoreMs: Math.round(untilMs + offsetMs),
    };
    try {
      const isWritten = await writer.write(
        record,
        known?.revision ?? { era: this.#era, version: 0 },
      );
      logger.info({ event: 'holdWritten', digest, isWritten });
      if (isWritten) {
        this.#runLater(untilMs - performance.now(), () => this.#remove(digest));
      } else {
        this.#schedule(hold, RETRY_MS + this.#pickTurnDelayMs());
      }
    } catch (error) {
      logger.warn({ event: 'holdNotWritten', digest, cause: getErrorMessage(error) });
      this.#schedule(hold, RETRY_MS + this.#pickTurnDelayMs());
    }
  }

  /** Called when this daemon observed the answer, or when the hold that it wrote has expired. */
  #remove(digest: RequestDigest): void {
    if (this.#rows.has(digest)) {
      void this.#tryRemove(digest);
    }
  }

  async #tryRemove(digest: RequestDigest): Promise<void> {
    const { writer, logger } = this.#options;
    try {
      await writer.remove(digest);
      logger.info({ event: 'holdRemoved', digest });
    } catch (error) {
      logger.warn({ event: 'holdNotRemoved', digest, cause: getErrorMessage(error) });
      this.#runLater(RETRY_MS, () => this.#remove(digest));
    }
  }
}

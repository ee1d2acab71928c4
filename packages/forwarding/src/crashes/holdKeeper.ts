/**
 * Keeps in the store which requests are held back, for daemons that start and for those that did not hear of
 * it: a row for each, written once. Whoever saw the end that decided writes at once; the others wait for
 * their turn and write if the row has not come by then, since that daemon may be gone.
 */
import { getErrorMessage, type Logger, type Random, type RequestDigest } from '@snipehaven/common';
import type { CrashBook } from './crashBook.js';
import type { Hold, HoldRecord, HoldWriter } from './types.js';

/** For each daemon that comes before: a row is written and known everywhere within this time. */
const TURN_MS = 750;

/** Daemons of a small fleet draw one of so many turns. */
const DRAWN_TURNS = 4;

/** The store was out of reach; it is asked again after this, and as much longer as daemons come before. */
const AGAIN_MS = 2_000;

export interface HoldKeeperOptions {
  readonly book: CrashBook;
  readonly writer: HoldWriter;
  readonly vm: string;
  readonly logger: Logger;
  readonly random: Random;
  /** The store's steady clock less ours, in ms; undefined until it was heard. */
  getStoreOffsetMs(): number | undefined;
  /** How many daemons come before this one to write; undefined in a small fleet. */
  getWriterRank(): number | undefined;
}

interface KnownRow {
  readonly version: number;
  readonly untilMs: number;
}

export class HoldKeeper {
  readonly #options: HoldKeeperOptions;

  /** Rows that the store has. */
  readonly #rows = new Map<RequestDigest, KnownRow>();

  readonly #timers = new Set<NodeJS.Timeout>();

  constructor(options: HoldKeeperOptions) {
    this.#options = options;
    options.book.watch({
      onHeld: (hold, source) => this.#schedule(hold, source === 'own' ? 0 : this.#drawTurnMs()),
      onReleased: (digest, source) => {
        if (source === 'own') {
          this.#remove(digest);
        }
      },
    });
  }

  stop(): void {
    this.#timers.forEach(clearTimeout);
  }

  /** A row of the store. */
  takeRecord(record: HoldRecord, version: number, storeOffsetMs: number): void {
    const { digest, lives } = record;
    const untilMs = record.untilStoreMs - storeOffsetMs;
    this.#rows.set(digest, { version, untilMs });
    if (untilMs > performance.now()) {
      this.#options.book.takeHold({
        digest,
        lives,
        sinceMs: record.sinceStoreMs - storeOffsetMs,
        untilMs,
      });
    }
  }

  /** An operator, or the daemon that saw the request answered, removed the row. */
  takeRemoval(digest: RequestDigest): void {
    if (this.#rows.delete(digest)) {
      this.#options.book.takeRelease(digest);
    }
  }

  /** The store's table was read whole: rows that were known and are not there were removed meanwhile. */
  keepOnly(digests: readonly RequestDigest[]): void {
    const present = new Set(digests);
    [...this.#rows.keys()]
      .filter((digest) => !present.has(digest))
      .forEach((digest) => this.takeRemoval(digest));
  }

  #drawTurnMs(): number {
    const rank = this.#options.getWriterRank() ?? this.#options.random.nextInt(DRAWN_TURNS);
    return TURN_MS * (1 + rank);
  }

  #later(delayMs: number, act: () => void): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      act();
    }, delayMs).unref();
    this.#timers.add(timer);
  }

  #schedule(hold: Hold, delayMs: number): void {
    this.#later(delayMs, () => {
      void this.#write(hold);
    });
  }

  /** Nothing to do once another daemon has written it, or the request was let go. */
  async #write(hold: Hold): Promise<void> {
    const { book, writer, vm, logger, getStoreOffsetMs } = this.#options;
    const { digest, lives, sinceMs, untilMs } = hold;
    const offsetMs = getStoreOffsetMs();
    const known = this.#rows.get(digest);
    const isKept = known !== undefined && known.untilMs > performance.now();
    if (isKept || book.findHold(digest) !== hold) {
      return;
    }
    if (offsetMs === undefined) {
      this.#schedule(hold, AGAIN_MS);
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
      const isWritten = await writer.write(record, known?.version ?? 0);
      logger.info({ event: 'holdWritten', digest, isWritten });
      if (isWritten) {
        this.#later(untilMs - performance.now(), () => this.#remove(digest));
      }
    } catch (error) {
      logger.warn({ event: 'holdNotWritten', digest, cause: getErrorMessage(error) });
      this.#schedule(hold, AGAIN_MS + this.#drawTurnMs());
    }
  }

  /** This daemon saw the request answered, or wrote the row and it has lapsed. */
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
      this.#later(AGAIN_MS, () => this.#remove(digest));
    }
  }
}

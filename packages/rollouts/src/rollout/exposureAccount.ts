/** Candidate answers that one daemon has charged to its grant of one roll-out. */
import { RATING_GRACE_MS, RESERVATION_MS, SESSION_RESERVATION_MS } from '../constants.js';

/** Answers that an assignment is expected to produce and that have not ended yet. */
interface Reservation {
  readonly requestId: string | undefined;
  readonly isSession: boolean;
  readonly expiresAtMs: number;
  readonly remainingAnswers: number;
}

/** The part of the grant to reserve for an assignment. */
export interface ReservationRequest {
  readonly requestId: string | undefined;
  readonly isSession: boolean;
  readonly answers: number;
}

export class ExposureAccount {
  #exposedCount = 0;

  #judgedCount = 0;

  #reservations: readonly Reservation[] = [];

  /** End times of answers that may still be rated, oldest first. */
  #unratedEndedAtMs: readonly number[] = [];

  get exposedCount(): number {
    return this.#exposedCount;
  }

  get judgedCount(): number {
    return this.#judgedCount;
  }

  /** Ended answers plus reserved ones. */
  getChargedCount(): number {
    const nowMs = Date.now();
    this.#reservations = this.#reservations.filter(({ expiresAtMs }) => expiresAtMs > nowMs);
    return (
      this.#exposedCount +
      this.#reservations.reduce((sum, { remainingAnswers }) => sum + remainingAnswers, 0)
    );
  }

  /**
   * Answers are counted when they end, so under load many requests could be assigned before the
   * first one ends: a grant of four could become fifty answers, and daemons would report more
   * answers than they were granted. Each assignment therefore reserves its part of the grant until
   * its answers have ended or the reservation expires.
   */
  reserve({ requestId, isSession, answers }: ReservationRequest): void {
    const durationMs = isSession ? SESSION_RESERVATION_MS : RESERVATION_MS;
    const expiresAtMs = Date.now() + durationMs;
    const added = { requestId, isSession, expiresAtMs, remainingAnswers: answers };
    this.#reservations = [...this.#reservations, added];
  }

  /**
   * Releases the unused reservation of a finished request. Reservations of sessions remain, for
   * their further answers.
   */
  release(requestId: string): void {
    this.#reservations = this.#reservations.filter(
      (reservation) => reservation.requestId !== requestId || reservation.isSession,
    );
  }

  recordEnding(isBad: boolean): void {
    this.#exposedCount += 1;
    this.#consumeReservation();
    if (isBad) {
      this.#judgedCount += 1;
    } else {
      this.#unratedEndedAtMs = [...this.#unratedEndedAtMs, Date.now()];
    }
  }

  /**
   * Returns whether the rating was counted as judging an answer. Ratings of answers that ended
   * badly are not, since those were judged when they ended.
   */
  recordScore(): boolean {
    const isAwaited = this.#unratedEndedAtMs.length > 0;
    if (isAwaited) {
      this.#unratedEndedAtMs = this.#unratedEndedAtMs.slice(1);
      this.#judgedCount += 1;
    }
    return isAwaited;
  }

  /** Counts unrated answers as judged if they ended long before the latest known rating. */
  expireUnrated(ratedUntilMs: number): void {
    const kept = this.#unratedEndedAtMs.filter(
      (endedAtMs) => endedAtMs + RATING_GRACE_MS > ratedUntilMs,
    );
    this.#judgedCount += this.#unratedEndedAtMs.length - kept.length;
    this.#unratedEndedAtMs = kept;
  }

  #consumeReservation(): void {
    const [first, ...others] = this.#reservations;
    if (first !== undefined) {
      const remainingAnswers = first.remainingAnswers - 1;
      this.#reservations =
        remainingAnswers > 0 ? [{ ...first, remainingAnswers }, ...others] : others;
    }
  }
}

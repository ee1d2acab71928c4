/** What one daemon has charged to its grant of one roll-out. */
import { RATING_PATIENCE_MS, RESERVATION_MS, SESSION_RESERVATION_MS } from '../constants.js';

/** Answers that an assignment has announced and that have not ended yet. */
interface Reservation {
  readonly requestId: string | undefined;
  readonly isSession: boolean;
  readonly expiresAtMs: number;
  readonly left: number;
}

/** What is to be held of the grant for an assignment. */
export interface ReservationRequest {
  readonly requestId: string | undefined;
  readonly isSession: boolean;
  readonly answers: number;
}

export class ExposureAccount {
  #exposedCount = 0;

  #judgedCount = 0;

  #reservations: readonly Reservation[] = [];

  /** When the answers ended whose rating may still come, oldest first. */
  #unjudged: readonly number[] = [];

  get exposedCount(): number {
    return this.#exposedCount;
  }

  get judgedCount(): number {
    return this.#judgedCount;
  }

  /** Answers that ended, and those still to come. */
  getChargedCount(): number {
    const nowMs = Date.now();
    this.#reservations = this.#reservations.filter(({ expiresAtMs }) => expiresAtMs > nowMs);
    return this.#exposedCount + this.#reservations.reduce((sum, { left }) => sum + left, 0);
  }

  /**
   * What goes wrong: many requests are assigned before the first of them ends, and a grant of four becomes
   * fifty answers. One notices it by daemons that report more than they were granted under load. Each
   * assignment therefore holds its part of the grant until its answers have ended, or are overdue.
   */
  reserve({ requestId, isSession, answers }: ReservationRequest): void {
    const durationMs = isSession ? SESSION_RESERVATION_MS : RESERVATION_MS;
    const expiresAtMs = Date.now() + durationMs;
    const added = { requestId, isSession, expiresAtMs, left: answers };
    this.#reservations = [...this.#reservations, added];
  }

  /** Gives back what a finished request held and did not use; a session's further answers stay. */
  release(requestId: string): void {
    this.#reservations = this.#reservations.filter(
      (reservation) => reservation.requestId !== requestId || reservation.isSession,
    );
  }

  noteEnding(isBad: boolean): void {
    this.#exposedCount += 1;
    this.#useReservation();
    if (isBad) {
      this.#judgedCount += 1;
    } else {
      this.#unjudged = [...this.#unjudged, Date.now()];
    }
  }

  /** Returns whether the rating judged an answer; one of an answer that ended badly does not. */
  noteScore(): boolean {
    const isAwaited = this.#unjudged.length > 0;
    if (isAwaited) {
      this.#unjudged = this.#unjudged.slice(1);
      this.#judgedCount += 1;
    }
    return isAwaited;
  }

  /** Counts answers as judged that ended long before the latest rating that is known of. */
  notePassed(ratedUntilMs: number): void {
    const kept = this.#unjudged.filter(
      (endedAtMs) => endedAtMs + RATING_PATIENCE_MS > ratedUntilMs,
    );
    this.#judgedCount += this.#unjudged.length - kept.length;
    this.#unjudged = kept;
  }

  #useReservation(): void {
    const [first, ...others] = this.#reservations;
    if (first !== undefined) {
      const left = first.left - 1;
      this.#reservations = left > 0 ? [{ ...first, left }, ...others] : others;
    }
  }
}

/**
 * Polls published scores. One daemon per data centre polls and delivers each score to the daemon
 * that submitted the answer; that daemon counts it as its own and ignores duplicates. Pollers
 * therefore need no coordination: if the duty moves, or a partition leads to two pollers, scores
 * are delivered repeatedly and counted once. The drawback is that scores for a daemon that has died
 * are lost.
 */
import { getErrorMessage, type Logger } from '@snipehaven/common';
import type { MembershipView } from '@snipehaven/membership';
import type { RaterClient, Rating, RatingPage } from '@snipehaven/platform';
import type { DeliverScores, PeerTransport } from '@snipehaven/protocol';
import { MAX_UNDELIVERED_SCORES, POLL_OVERLAP_SEQS, POLL_PAGE_SIZE } from '../constants.js';
import type { RaterHealth } from './raterHealth.js';
import { getSubmitter } from './sampleQueue.js';

type Score = DeliverScores['scores'][number];

const DUTY = 'ratingPoll';

export interface ScorePollerOptions {
  readonly rater: RaterClient;
  readonly health: RaterHealth;
  readonly membership: MembershipView;
  readonly transport: PeerTransport;
  readonly logger: Logger;
  /** Counts scores of answers that this daemon submitted. */
  readonly countScores: (scores: readonly Score[]) => void;
}

export class ScorePoller {
  readonly #options: ScorePollerOptions;

  /** Highest sequence number known to have been delivered by any poller. */
  #ratedSeq: number | undefined;

  /** Sequence number to continue after; undefined while this daemon does not own the duty. */
  #cursor: number | undefined;

  /** Scores not yet accepted by their member, by incarnation. */
  readonly #undelivered = new Map<string, readonly Score[]>();

  #isPolling = false;

  #ratedSeqAdvancedAtMs = -Infinity;

  constructor(options: ScorePollerOptions) {
    this.#options = options;
  }

  get ratedSeq(): number | undefined {
    return this.#ratedSeq;
  }

  /** Time at which new scores were last reported. */
  get ratedSeqAdvancedAtMs(): number {
    return this.#ratedSeqAdvancedAtMs;
  }

  /** Records the progress of another poller. */
  recordRatedSeq(seq: number): void {
    if (seq > (this.#ratedSeq ?? -1)) {
      this.#ratedSeq = seq;
      this.#ratedSeqAdvancedAtMs = Date.now();
    }
  }

  /** Polls if this daemon owns the duty. */
  async poll(): Promise<void> {
    if (!this.#options.membership.ownsDuty(DUTY)) {
      this.#cursor = undefined;
      return;
    }
    if (this.#isPolling) {
      return;
    }
    this.#isPolling = true;
    try {
      await this.#pollPages();
    } catch (error) {
      this.#options.logger.debug(
        { error: getErrorMessage(error) },
        'could not fetch scores from the rater',
      );
    } finally {
      this.#isPolling = false;
    }
  }

  async #pollPages(): Promise<void> {
    let after = this.#cursor ?? (await this.#findStartSeq());
    for (let isLastPage = false; !isLastPage;) {
      const page: RatingPage = await this.#fetch(after);
      isLastPage = page.ratings.length < POLL_PAGE_SIZE;
      await this.#deliverAll(page.ratings);
      const lastRead = page.ratings.at(-1)?.seq ?? after;
      after = isLastPage ? Math.max(lastRead, page.lastSeq) : lastRead;
      this.#cursor = after;
      this.recordRatedSeq(after);
    }
  }

  #fetch(afterSeq: number): Promise<RatingPage> {
    const { rater, health } = this.#options;
    return health.track(() => rater.fetchRatings(afterSeq, POLL_PAGE_SIZE));
  }

  /**
   * Starts slightly before the known progress of the previous poller, or else slightly before the
   * last published score.
   */
  async #findStartSeq(): Promise<number> {
    const { rater, health } = this.#options;
    const known = this.#ratedSeq ?? (await health.track(() => rater.fetchRatings(0, 1))).lastSeq;
    return Math.max(0, known - POLL_OVERLAP_SEQS);
  }

  async #deliverAll(ratings: readonly Rating[]): Promise<void> {
    ratings.forEach(({ id, score }) => this.#addUndelivered(getSubmitter(id), { id, score }));
    const { membership } = this.#options;
    const members = new Map(membership.listLocal().map((member) => [member.incarnation, member]));
    await Promise.all(
      [...this.#undelivered].map(async ([incarnation, scores]) => {
        const member = members.get(incarnation);
        if (member === undefined) {
          this.#undelivered.delete(incarnation);
          return;
        }
        await this.#deliver(incarnation, member.address, scores);
      }),
    );
  }

  #addUndelivered(incarnation: string, score: Score): void {
    const buffered = this.#undelivered.get(incarnation) ?? [];
    this.#undelivered.set(incarnation, [...buffered, score].slice(-MAX_UNDELIVERED_SCORES));
  }

  async #deliver(incarnation: string, address: string, scores: readonly Score[]): Promise<void> {
    const { membership, transport, countScores: takeScores, logger } = this.#options;
    try {
      if (incarnation === membership.self.incarnation) {
        takeScores(scores);
      } else {
        await transport.getPeer(address).evidence.deliverScores({ scores: [...scores] });
      }
      this.#undelivered.delete(incarnation);
    } catch (error) {
      logger.debug(
        { address, error: getErrorMessage(error) },
        'could not deliver scores to a member',
      );
    }
  }
}

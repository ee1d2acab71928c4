/**
 * Fetches published scores. One daemon of each data centre does it for all and hands each score to the
 * daemon that asked for it, which counts it under its own name and knows it again if it comes twice.
 * So nothing has to be agreed on between pollers: when the duty moves, or a cut makes two of them, scores
 * are delivered again and counted once. What it costs: the scores of a daemon that died are lost.
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
  /** Counts scores of this daemon's own answers. */
  readonly takeScores: (scores: readonly Score[]) => void;
}

export class ScorePoller {
  readonly #options: ScorePollerOptions;

  /** Scores up to here were handed out, as far as this daemon knows. */
  #ratedSeq: number | undefined;

  /** Where this daemon reads on; absent while it has not the duty. */
  #cursor: number | undefined;

  /** Scores that a member did not take yet, by incarnation. */
  readonly #undelivered = new Map<string, readonly Score[]>();

  #isPolling = false;

  #advancedAtMs = -Infinity;

  constructor(options: ScorePollerOptions) {
    this.#options = options;
  }

  get ratedSeq(): number | undefined {
    return this.#ratedSeq;
  }

  /** When new scores were last heard of. */
  get advancedAtMs(): number {
    return this.#advancedAtMs;
  }

  /** Takes in how far another poller has come. */
  noteRatedSeq(seq: number): void {
    if (seq > (this.#ratedSeq ?? -1)) {
      this.#ratedSeq = seq;
      this.#advancedAtMs = Date.now();
    }
  }

  /** Polls where this daemon has the duty. */
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
      this.#options.logger.debug({ error: getErrorMessage(error) }, 'no scores from the rater');
    } finally {
      this.#isPolling = false;
    }
  }

  async #pollPages(): Promise<void> {
    let after = this.#cursor ?? (await this.#findStart());
    for (let isLastPage = false; !isLastPage;) {
      const page: RatingPage = await this.#fetch(after);
      isLastPage = page.ratings.length < POLL_PAGE_SIZE;
      await this.#handOut(page.ratings);
      const lastRead = page.ratings.at(-1)?.seq ?? after;
      after = isLastPage ? Math.max(lastRead, page.lastSeq) : lastRead;
      this.#cursor = after;
      this.noteRatedSeq(after);
    }
  }

  #fetch(afterSeq: number): Promise<RatingPage> {
    const { rater, health } = this.#options;
    return health.watch(() => rater.fetchRatings(afterSeq, POLL_PAGE_SIZE));
  }

  /** A little before where the last poller was heard to be, or before the end of what is published. */
  async #findStart(): Promise<number> {
    const { rater, health } = this.#options;
    const known = this.#ratedSeq ?? (await health.watch(() => rater.fetchRatings(0, 1))).lastSeq;
    return Math.max(0, known - POLL_OVERLAP_SEQS);
  }

  async #handOut(ratings: readonly Rating[]): Promise<void> {
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
    const waiting = this.#undelivered.get(incarnation) ?? [];
    this.#undelivered.set(incarnation, [...waiting, score].slice(-MAX_UNDELIVERED_SCORES));
  }

  async #deliver(incarnation: string, address: string, scores: readonly Score[]): Promise<void> {
    const { membership, transport, takeScores, logger } = this.#options;
    try {
      if (incarnation === membership.self.incarnation) {
        takeScores(scores);
      } else {
        await transport.getPeer(address).evidence.deliverScores({ scores: [...scores] });
      }
      this.#undelivered.delete(incarnation);
    } catch (error) {
      logger.debug({ address, error: getErrorMessage(error) }, 'scores not delivered');
    }
  }
}

/** Hands answers to the rater in the background, and knows again the scores that come back. */
import type { RaterClient, RatingRequest } from '@snipehaven/platform';
import { MAX_OUTSTANDING_SAMPLES, MAX_QUEUED_SAMPLES, SAMPLE_BATCH_SIZE } from '../constants.js';
import type { AnswerSample, EvidenceSubject } from '../types.js';
import type { RaterHealth } from './raterHealth.js';

const ID_SEPARATOR = '~';

/** The incarnation of the daemon that handed an answer to the rater, from the id it gave. */
export const getSubmitter = (ratingId: string): string => ratingId.split(ID_SEPARATOR)[0] ?? '';

/** Which part of which pair an answer is. */
export interface PairPart {
  readonly pairId: string;
  readonly side: 'stable' | 'candidate';
}

/** An answer whose score is awaited. */
export interface OutstandingSample {
  readonly subject: EvidenceSubject;
  /** Absent for an answer that is rated for itself. */
  readonly part?: PairPart;
  readonly submittedAtMs: number;
}

export interface SampleQueueOptions {
  readonly rater: RaterClient;
  readonly health: RaterHealth;
  readonly incarnation: string;
}

export class SampleQueue {
  readonly #options: SampleQueueOptions;

  #queued: RatingRequest[] = [];

  readonly #outstanding = new Map<string, OutstandingSample>();

  #isSending = false;

  #dropped = 0;

  constructor(options: SampleQueueOptions) {
    this.#options = options;
  }

  /** Answers that were not handed over, since the queue was full or the rater down. */
  get droppedCount(): number {
    return this.#dropped;
  }

  get outstandingCount(): number {
    return this.#outstanding.size;
  }

  /** Queues an answer; returns false where it is dropped. */
  add(subject: EvidenceSubject, sample: AnswerSample, part?: PairPart): boolean {
    if (this.#queued.length >= MAX_QUEUED_SAMPLES || !this.#options.health.isUp()) {
      this.#dropped += 1;
      return false;
    }
    const id = this.#createId(sample.requestId, subject);
    const { team, task, version } = subject;
    const { prompt, answer } = sample;
    this.#queued.push({ id, team, task, version, prompt, answer });
    const outstanding = { subject, submittedAtMs: Date.now() };
    this.#outstanding.set(id, part === undefined ? outstanding : { ...outstanding, part });
    this.#forgetOldest();
    return true;
  }

  /** Sends what waits, batch by batch. */
  async flush(): Promise<void> {
    if (this.#isSending) {
      return;
    }
    this.#isSending = true;
    try {
      while (this.#queued.length > 0) {
        await this.#send(this.#queued.splice(0, SAMPLE_BATCH_SIZE));
      }
    } finally {
      this.#isSending = false;
    }
  }

  /**
   * The subject of a score, once: a score that comes again, by another poller or a repeated message, finds
   * nothing any more.
   */
  takeScored(ratingId: string): OutstandingSample | undefined {
    const sample = this.#outstanding.get(ratingId);
    this.#outstanding.delete(ratingId);
    return sample;
  }

  /** A failed batch may have arrived all the same: its scores are still awaited, it is not sent twice. */
  async #send(batch: readonly RatingRequest[]): Promise<void> {
    const { rater, health } = this.#options;
    try {
      await health.watch(() => rater.submit(batch));
    } catch {
      this.#dropped += batch.length;
    }
  }

  #createId(requestId: string, subject: EvidenceSubject): string {
    const position = subject.isEscalated ? 'e' : 'd';
    return [this.#options.incarnation, requestId, position].join(ID_SEPARATOR);
  }

  #forgetOldest(): void {
    if (this.#outstanding.size > MAX_OUTSTANDING_SAMPLES) {
      const [oldest] = this.#outstanding.keys();
      this.#outstanding.delete(oldest ?? '');
    }
  }
}

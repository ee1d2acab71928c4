/**
 * Submits answers to the rater in batches in the background and matches returned scores to them.
 */
import type { RaterClient, RatingRequest } from '@snipehaven/platform';
import { MAX_OUTSTANDING_SAMPLES, MAX_QUEUED_SAMPLES, SAMPLE_BATCH_SIZE } from '../constants.js';
import type { AnswerSample, EvidenceSubject } from '../types.js';
import type { RaterHealth } from './raterHealth.js';

const ID_SEPARATOR = '~';

/** Extracts from a rating id the incarnation of the daemon that submitted the answer. */
export const getSubmitter = (ratingId: string): string => ratingId.split(ID_SEPARATOR)[0] ?? '';

/** The pair that an answer belongs to, and its side. */
export interface PairPart {
  readonly pairId: string;
  readonly side: 'stable' | 'candidate';
}

/** A submitted answer with a pending score. */
export interface OutstandingSample {
  readonly subject: EvidenceSubject;
  /** Absent for an answer that is not part of a pair. */
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

  #droppedCount = 0;

  constructor(options: SampleQueueOptions) {
    this.#options = options;
  }

  /** Answers not submitted because the queue was full, the rater was down or the call failed. */
  get droppedCount(): number {
    return this.#droppedCount;
  }

  get outstandingCount(): number {
    return this.#outstanding.size;
  }

  /** Queues an answer for rating; returns false if it was dropped. */
  add(subject: EvidenceSubject, sample: AnswerSample, part?: PairPart): boolean {
    if (this.#queued.length >= MAX_QUEUED_SAMPLES || !this.#options.health.isUp()) {
      this.#droppedCount += 1;
      return false;
    }
    const id = this.#createId(sample.requestId, subject);
    const { team, task, version } = subject;
    const { prompt, answer } = sample;
    this.#queued.push({ id, team, task, version, prompt, answer });
    const outstanding = { subject, submittedAtMs: Date.now() };
    this.#outstanding.set(id, part === undefined ? outstanding : { ...outstanding, part });
    this.#evictOldest();
    return true;
  }

  /** Submits all queued answers in batches. */
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
   * Removes and returns the sample of a score. A score that arrives again, from another poller or a
   * repeated message, finds nothing and is thus counted once.
   */
  takeOutstanding(ratingId: string): OutstandingSample | undefined {
    const sample = this.#outstanding.get(ratingId);
    this.#outstanding.delete(ratingId);
    return sample;
  }

  /**
   * A failed batch may still have reached the rater: its scores stay expected, and it is not sent
   * again.
   */
  async #send(batch: readonly RatingRequest[]): Promise<void> {
    const { rater, health } = this.#options;
    try {
      await health.track(() => rater.submit(batch));
    } catch {
      this.#droppedCount += batch.length;
    }
  }

  #createId(requestId: string, subject: EvidenceSubject): string {
    const position = subject.isEscalated ? 'e' : 'd';
    return [this.#options.incarnation, requestId, position].join(ID_SEPARATOR);
  }

  #evictOldest(): void {
    if (this.#outstanding.size > MAX_OUTSTANDING_SAMPLES) {
      const [oldest] = this.#outstanding.keys();
      this.#outstanding.delete(oldest ?? '');
    }
  }
}

/** Evidence of this daemon alone: the operators' priors, and the rater in line. */
import { getErrorMessage, type Logger } from '@snipehaven/common';
import type { RaterClient } from '@snipehaven/platform';
import { addPrior, noEvidence, type PriorQuality, type QualityEvidence } from '@snipehaven/policy';
import type { AnswerSample, EvidenceBook, EvidenceSubject } from './types.js';

const DOWN_FOR_MS = 5_000;

export class LocalEvidenceBook implements EvidenceBook {
  readonly #rater: RaterClient;

  readonly #logger: Logger;

  #downUntilMs = 0;

  constructor(rater: RaterClient, logger: Logger) {
    this.#rater = rater;
    this.#logger = logger;
  }

  getEvidence(_subject: EvidenceSubject, prior: PriorQuality): QualityEvidence {
    return addPrior(noEvidence, prior);
  }

  recordEnding(): void {}

  recordScore(): void {}

  submitSample(subject: EvidenceSubject, sample: AnswerSample): void {
    const { team, task, version } = subject;
    const { requestId: id, prompt, answer } = sample;
    this.#rater.submit([{ id, team, task, version, prompt, answer }]).catch((error: unknown) => {
      this.#noteDown(error);
    });
  }

  async rateNow(
    subject: EvidenceSubject,
    sample: AnswerSample,
    timeoutMs: number,
  ): Promise<number> {
    const { team, task, version } = subject;
    const { requestId: id, prompt, answer } = sample;
    try {
      return await this.#rater.rate({ id, team, task, version, prompt, answer }, timeoutMs);
    } catch (error) {
      this.#noteDown(error);
      throw error;
    }
  }

  isRaterUp(): boolean {
    return Date.now() >= this.#downUntilMs;
  }

  #noteDown(error: unknown): void {
    this.#downUntilMs = Date.now() + DOWN_FOR_MS;
    this.#logger.warn({ error: getErrorMessage(error) }, 'the rater does not answer');
  }
}

/** Evidence of all daemons, as the request path reads it and adds to it. */
import { getErrorMessage, getModelOfVersion, type Logger } from '@snipehaven/common';
import type { ConfigurationStore, SafeMoves } from '@snipehaven/configuration';
import type { GossipTopic, MembershipView } from '@snipehaven/membership';
import type { RaterClient } from '@snipehaven/platform';
import {
  addPair,
  emptyPairCounts,
  type PriorQuality,
  type QualityEvidence,
} from '@snipehaven/policy';
import type { DeliverScores, EvidenceHandlers, PeerTransport } from '@snipehaven/protocol';
import {
  MAINTENANCE_MS,
  MAX_RATED_INLINE,
  POLL_INTERVAL_MS,
  RUNNER_TICK_MS,
  SAMPLE_FLUSH_MS,
} from './constants.js';
import { RatingUnavailableError } from './errors.js';
import { toEvidenceKey } from './evidence/cellKey.js';
import { DriftWatch } from './evidence/driftWatch.js';
import { EvidenceCells } from './evidence/evidenceCells.js';
import { EvidenceTopic } from './evidence/evidenceTopic.js';
import { PooledEvidence } from './evidence/pooledEvidence.js';
import { SlowThresholds } from './evidence/slowThresholds.js';
import { PairScores, type ScoredPair } from './rater/pairScores.js';
import { RaterHealth } from './rater/raterHealth.js';
import { SampleQueue } from './rater/sampleQueue.js';
import { ScorePoller } from './rater/scorePoller.js';
import { ExposureLedger } from './rollout/exposureLedger.js';
import type { RolloutCatalogue } from './rollout/rolloutCatalogue.js';
import type { RolloutStates } from './rollout/rolloutStates.js';
import type {
  AnswerEnding,
  AnswerPair,
  AnswerSample,
  EvidenceBook,
  EvidenceSubject,
} from './types.js';

export interface SharedEvidenceBookOptions {
  readonly rater: RaterClient;
  readonly membership: MembershipView;
  readonly transport: PeerTransport;
  readonly configuration: Pick<ConfigurationStore, 'getView'>;
  readonly safeMoves: SafeMoves;
  readonly catalogue: RolloutCatalogue;
  readonly states: RolloutStates;
  readonly logger: Logger;
}

/** Counters for metrics. */
export interface EvidenceCounters {
  readonly droppedSamples: number;
  readonly outstandingSamples: number;
  readonly cells: number;
}

export class SharedEvidenceBook implements EvidenceBook {
  readonly cells: EvidenceCells;

  /** Counts this daemon's answers of candidates. */
  readonly ledger: ExposureLedger;

  readonly topic: GossipTopic;

  readonly handlers: EvidenceHandlers = {
    deliverScores: async ({ scores }) => ({ counted: this.#takeScores(scores) }),
  };

  readonly #options: SharedEvidenceBookOptions;

  readonly #pooled: PooledEvidence;

  readonly #slow = new SlowThresholds();

  readonly #health: RaterHealth;

  readonly #samples: SampleQueue;

  readonly #pairs = new PairScores();

  readonly #poller: ScorePoller;

  readonly #drift: DriftWatch;

  /** Answers that were rated in line, by request and version. */
  readonly #ratedInline = new Set<string>();

  #timers: readonly NodeJS.Timeout[] = [];

  constructor(options: SharedEvidenceBookOptions) {
    const { rater, membership, catalogue, safeMoves, logger } = options;
    const { incarnation, dataCentre } = membership.self;
    this.#options = options;
    this.cells = new EvidenceCells({ incarnation, dataCentre });
    this.ledger = new ExposureLedger(catalogue);
    this.#pooled = new PooledEvidence(this.cells, (version) => this.#findStandIn(version));
    this.#health = new RaterHealth(rater);
    this.#samples = new SampleQueue({ rater, health: this.#health, incarnation });
    this.#poller = new ScorePoller({
      ...options,
      health: this.#health,
      takeScores: (scores) => this.#takeScores(scores),
    });
    this.#drift = new DriftWatch({
      cells: this.cells,
      safeMoves,
      listVersions: () => this.#listVersions(),
      incarnation,
      logger,
    });
    this.topic = new EvidenceTopic({
      cells: this.cells,
      membership,
      isUrgent: (version) => catalogue.findByCandidate(version) !== undefined,
      getRatedSeq: () => this.#poller.ratedSeq,
      noteRatedSeq: (seq) => this.#poller.noteRatedSeq(seq),
    });
  }

  start(): void {
    this.#timers = [
      setInterval(() => {
        void this.#samples.flush();
      }, SAMPLE_FLUSH_MS),
      setInterval(() => {
        void this.#poller.poll();
      }, POLL_INTERVAL_MS),
      setInterval(() => this.#tick(), RUNNER_TICK_MS),
      setInterval(() => this.cells.compact(), MAINTENANCE_MS),
    ];
  }

  stop(): void {
    this.#timers.forEach((timer) => clearInterval(timer));
    this.#timers = [];
  }

  getEvidence(subject: EvidenceSubject, prior: PriorQuality): QualityEvidence {
    return this.#pooled.get(toEvidenceKey(subject), prior);
  }

  recordEnding(subject: EvidenceSubject, ending: AnswerEnding): void {
    const { version, task } = subject;
    const model = getModelOfVersion(version);
    const isSlow = ending.end === 'complete' && this.#slow.observe(model, task, ending.totalMs);
    this.cells.count(toEvidenceKey(subject), { type: 'ended', end: ending.end, isSlow });
    this.ledger.noteEnding(version, ending.end !== 'complete');
  }

  recordScore(subject: EvidenceSubject, score: number): void {
    this.cells.count(toEvidenceKey(subject), { type: 'rated', score });
    this.ledger.noteScore(subject.version);
  }

  /**
   * What goes wrong: a pair's scores counted as ratings too would let the shadow's hundreds raise the limit
   * of answers that callers may get unrated. One notices it by a slow candidate, which the shadow cannot
   * tell from a good one, and of which callers get far more than the budget. They count as pairs only.
   */
  submitPair({ requestId, prompt, stable, candidate }: AnswerPair): void {
    const pairId = `${requestId}.pair`;
    const sides = { stable, candidate } as const;
    this.#pairs.open(pairId, candidate.subject.version);
    (['stable', 'candidate'] as const).forEach((side) => {
      const { subject, answer } = sides[side];
      const sample = { requestId: `${pairId}.${side}`, prompt, answer };
      this.#samples.add(subject, sample, { pairId, side });
    });
  }

  submitSample(subject: EvidenceSubject, sample: AnswerSample): void {
    if (!this.#ratedInline.delete(this.#getAnswerKey(subject, sample))) {
      this.#samples.add(subject, sample);
    }
  }

  async rateNow(
    subject: EvidenceSubject,
    sample: AnswerSample,
    timeoutMs: number,
  ): Promise<number> {
    const { team, task, version } = subject;
    const { requestId: id, prompt, answer } = sample;
    const request = { id, team, task, version, prompt, answer };
    try {
      const score = await this.#health.watch(() => this.#rateInTime(request, timeoutMs));
      this.#rememberRated(this.#getAnswerKey(subject, sample));
      return score;
    } catch (error) {
      this.#options.logger.debug({ error: getErrorMessage(error) }, 'no rating in line');
      throw new RatingUnavailableError(`no score for ${id}`, { cause: error });
    }
  }

  isRaterUp(): boolean {
    return this.#health.isUp();
  }

  getCounters(): EvidenceCounters {
    return {
      droppedSamples: this.#samples.droppedCount,
      outstandingSamples: this.#samples.outstandingCount,
      cells: this.cells.cellKeys.length,
    };
  }

  /** The client may wait longer than it was told to; the request does not. */
  async #rateInTime(
    request: Parameters<RaterClient['rate']>[0],
    timeoutMs: number,
  ): Promise<number> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_, reject) => {
      const fail = (): void => reject(new RatingUnavailableError('no answer in time'));
      timer = setTimeout(fail, timeoutMs);
    });
    try {
      return await Promise.race([this.#options.rater.rate(request, timeoutMs), timeout]);
    } finally {
      clearTimeout(timer);
    }
  }

  #tick(): void {
    this.#drift.check();
    this.ledger.notePassed(this.#poller.advancedAtMs);
    void this.#health.probeIfDown();
  }

  #takeScores(scores: readonly DeliverScores['scores'][number][]): number {
    const counted = scores.flatMap(({ id, score }) => {
      const sample = this.#samples.takeScored(id);
      return sample === undefined ? [] : [{ ...sample, score }];
    });
    counted.forEach(({ subject, part, score }) => {
      if (part === undefined) {
        this.recordScore(subject, score);
      } else {
        this.#countPair(this.#pairs.note(part, score));
      }
    });
    return counted.length;
  }

  /** Counts a whole pair under this daemon's name, while the roll-out that it is for is declared. */
  #countPair(pair: ScoredPair | undefined): void {
    const { catalogue, states, membership } = this.#options;
    const declared = pair && catalogue.findByCandidate(pair.candidateVersion);
    if (pair === undefined || declared === undefined) {
      return;
    }
    const { rolloutId } = declared.definition;
    const source = membership.self.incarnation;
    const share = states.getPairs(rolloutId, source) ?? { source, counts: emptyPairCounts() };
    states.mergePairs(rolloutId, addPair(share, pair.stableScore, pair.candidateScore));
  }

  #findStandIn(version: string): ReturnType<ConstructorParameters<typeof PooledEvidence>[1]> {
    const { catalogue, states } = this.#options;
    const definition = catalogue.findByCandidate(version)?.definition;
    const phase = definition && states.getProgress(definition.rolloutId)?.phase;
    return phase === 'running' || phase === 'finished' ? definition?.stableVersion : undefined;
  }

  #listVersions(): readonly string[] {
    return this.#options.configuration
      .getView()
      .list('ModelVersion')
      .map(({ metadata }) => metadata.name);
  }

  #getAnswerKey({ version }: EvidenceSubject, { requestId }: AnswerSample): string {
    return `${requestId}|${version}`;
  }

  #rememberRated(answerKey: string): void {
    this.#ratedInline.add(answerKey);
    if (this.#ratedInline.size > MAX_RATED_INLINE) {
      const [oldest] = this.#ratedInline;
      this.#ratedInline.delete(oldest ?? '');
    }
  }
}

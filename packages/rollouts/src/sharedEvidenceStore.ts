/** Evidence shared by all daemons, as read and written by the request path. */
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
import { DriftMonitor } from './evidence/driftMonitor.js';
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
  EvidenceStore,
  EvidenceSubject,
} from './types.js';

export interface SharedEvidenceStoreOptions {
  readonly rater: RaterClient;
  readonly membership: MembershipView;
  readonly transport: PeerTransport;
  readonly configuration: Pick<ConfigurationStore, 'getView'>;
  readonly safeMoves: SafeMoves;
  readonly catalogue: RolloutCatalogue;
  readonly states: RolloutStates;
  readonly logger: Logger;
}

/** Counters exposed as metrics. */
export interface EvidenceCounters {
  readonly droppedSamples: number;
  readonly outstandingSamples: number;
  readonly cells: number;
}

export class SharedEvidenceStore implements EvidenceStore {
  readonly cells: EvidenceCells;

  /** Counts the candidate answers that this daemon served. */
  readonly ledger: ExposureLedger;

  readonly topic: GossipTopic;

  readonly handlers: EvidenceHandlers = {
    deliverScores: async ({ scores }) => ({ counted: this.#countScores(scores) }),
  };

  readonly #options: SharedEvidenceStoreOptions;

  readonly #pooled: PooledEvidence;

  readonly #slowThresholds = new SlowThresholds();

  readonly #health: RaterHealth;

  readonly #samples: SampleQueue;

  readonly #pairs = new PairScores();

  readonly #poller: ScorePoller;

  readonly #driftMonitor: DriftMonitor;

  /** Answers rated inline, by request and version. */
  readonly #ratedInline = new Set<string>();

  #timers: readonly NodeJS.Timeout[] = [];

  constructor(options: SharedEvidenceStoreOptions) {
    const { rater, membership, catalogue, safeMoves, logger } = options;
    const { incarnation, dataCentre } = membership.self;
    this.#options = options;
    this.cells = new EvidenceCells({ incarnation, dataCentre });
    this.ledger = new ExposureLedger(catalogue);
    this.#pooled = new PooledEvidence(this.cells, (version) => this.#findProxyVersion(version));
    this.#health = new RaterHealth(rater);
    this.#samples = new SampleQueue({ rater, health: this.#health, incarnation });
    this.#poller = new ScorePoller({
      ...options,
      health: this.#health,
      countScores: (scores) => this.#countScores(scores),
    });
    this.#driftMonitor = new DriftMonitor({
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
      recordRatedSeq: (seq) => this.#poller.recordRatedSeq(seq),
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
    const isSlow =
      ending.end === 'complete' && this.#slowThresholds.observe(model, task, ending.totalMs);
    this.cells.recordOutcome(toEvidenceKey(subject), { type: 'ended', end: ending.end, isSlow });
    this.ledger.recordEnding(version, ending.end !== 'complete');
  }

  recordScore(subject: EvidenceSubject, score: number): void {
    this.cells.recordOutcome(toEvidenceKey(subject), { type: 'rated', score });
    this.ledger.recordScore(subject.version);
  }

  /**
   * Scores of a pair are counted only as a pair and not as ratings. Otherwise the hundreds of
   * shadow ratings would raise the number of unrated answers that callers may receive, and a slow
   * candidate, which looks fine in the shadow phase, would serve far more answers than the exposure
   * budget.
   */
  submitPair({ requestId, prompt, stable, candidate }: AnswerPair): void {
    const pairId = `${requestId}.pair`;
    const sides = { stable, candidate } as const;
    this.#pairs.register(pairId, candidate.subject.version);
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
      const score = await this.#health.track(() => this.#rateWithTimeout(request, timeoutMs));
      this.#cacheRatedInline(this.#getAnswerKey(subject, sample));
      return score;
    } catch (error) {
      this.#options.logger.debug({ error: getErrorMessage(error) }, 'inline rating failed');
      throw new RatingUnavailableError(`no inline score for request ${id}`, { cause: error });
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

  /** Enforces the timeout here, because the rater client may exceed it. */
  async #rateWithTimeout(
    request: Parameters<RaterClient['rate']>[0],
    timeoutMs: number,
  ): Promise<number> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_, reject) => {
      const fail = (): void =>
        reject(new RatingUnavailableError(`the rater did not answer within ${timeoutMs} ms`));
      timer = setTimeout(fail, timeoutMs);
    });
    try {
      return await Promise.race([this.#options.rater.rate(request, timeoutMs), timeout]);
    } finally {
      clearTimeout(timer);
    }
  }

  #tick(): void {
    this.#driftMonitor.check();
    this.ledger.expireUnrated(this.#poller.ratedSeqAdvancedAtMs);
    void this.#health.probeIfDown();
  }

  #countScores(scores: readonly DeliverScores['scores'][number][]): number {
    const counted = scores.flatMap(({ id, score }) => {
      const sample = this.#samples.takeOutstanding(id);
      return sample === undefined ? [] : [{ ...sample, score }];
    });
    counted.forEach(({ subject, part, score }) => {
      if (part === undefined) {
        this.recordScore(subject, score);
      } else {
        this.#countPair(this.#pairs.recordScore(part, score));
      }
    });
    return counted.length;
  }

  /** Counts a complete pair with this daemon as its source, if the roll-out is still declared. */
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

  #findProxyVersion(version: string): ReturnType<ConstructorParameters<typeof PooledEvidence>[1]> {
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

  #cacheRatedInline(answerKey: string): void {
    this.#ratedInline.add(answerKey);
    if (this.#ratedInline.size > MAX_RATED_INLINE) {
      const [oldest] = this.#ratedInline;
      this.#ratedInline.delete(oldest ?? '');
    }
  }
}

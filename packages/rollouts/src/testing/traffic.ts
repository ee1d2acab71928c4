/** Generates requests for a test cluster and answers them like the request path. */
import { asId, type VersionId } from '@snipehaven/common';
import type { AnswerEnding, EvidenceSubject, ModelAssignment } from '../types.js';
import { CANDIDATE, type TestCluster, type TestDaemon } from './testCluster.js';

const ANSWER_MS = 400;
const ACCEPT_ABOVE_SCORE = 0.85;
const RATING_TIMEOUT_MS = 1_000;
const RATED_SHARE = 0.2;

export interface TrafficOptions {
  readonly requestsPerSecond: number;
  readonly teams: number;
  readonly tasks: number;
  /** How answers of the version end. */
  readonly getEnd?: (version: string) => AnswerEnding['end'];
  readonly allowsCascade?: boolean;
}

export class Traffic {
  readonly #cluster: TestCluster;

  readonly #options: TrafficOptions;

  /** Requests due but not started yet; fractional. */
  #dueRequests = 0;

  #requestCount = 0;

  /** Answers given by the candidate, and those of them that were released to callers. */
  candidateAnswers = 0;

  candidateReleased = 0;

  stableAnswers = 0;

  /** Shadow answers of the candidate, which callers do not receive. */
  shadowAnswers = 0;

  constructor(cluster: TestCluster, options: TrafficOptions) {
    this.#cluster = cluster;
    this.#options = options;
  }

  /** Starts the requests due in a step of the clock, at random daemons. */
  step(stepMs: number): void {
    this.#dueRequests += (this.#options.requestsPerSecond * stepMs) / 1_000;
    for (; this.#dueRequests >= 1; this.#dueRequests -= 1) {
      const { daemons, frozen } = this.#cluster;
      const running = daemons.filter(({ self }) => !frozen.has(self.vm));
      const daemon = running[this.#cluster.random.nextInt(running.length)] as TestDaemon;
      void this.request(daemon);
    }
  }

  async request(daemon: TestDaemon): Promise<void> {
    this.#requestCount += 1;
    const requestId = `${daemon.self.incarnation}-${this.#requestCount.toString(36)}`;
    const { teams, tasks, allowsCascade = true } = this.#options;
    const assignment = daemon.system.assigner.assign('small', {
      isStrict: false,
      allowsExploration: true,
      allowsCascade,
      isSession: false,
      isIdempotent: true,
      requestId,
    }) as ModelAssignment;
    const subject = {
      team: `team-${this.#requestCount % teams}`,
      task: `task-${Math.floor(this.#requestCount / teams) % tasks}`,
      version: assignment.version,
      isEscalated: false,
    };
    await this.#answer(daemon, subject, assignment, requestId);
    daemon.system.assigner.release(requestId);
  }

  async #answer(
    daemon: TestDaemon,
    subject: EvidenceSubject,
    assignment: ModelAssignment,
    requestId: string,
  ): Promise<void> {
    const { evidence } = daemon.system;
    await this.#run(daemon, subject);
    this.#shadow(daemon, subject, assignment, requestId);
    const sample = { requestId, prompt: 'prompt', answer: 'answer' };
    if (assignment.isGated) {
      const score = await evidence
        .rateNow(subject, sample, RATING_TIMEOUT_MS)
        .catch(() => undefined);
      if (score !== undefined) {
        evidence.recordScore(subject, score);
      }
      if (score === undefined || score <= ACCEPT_ABOVE_SCORE) {
        const stable = { ...subject, version: assignment.stableVersion, isEscalated: true };
        await this.#run(daemon, stable);
        return;
      }
    }
    this.candidateReleased += Number(subject.version === CANDIDATE);
    if (assignment.shouldRate || this.#cluster.random.next() < RATED_SHARE) {
      evidence.submitSample(subject, sample);
    }
  }

  /** Like the request path, only rates the shadow answer as a pair with the stable one. */
  #shadow(
    { system }: TestDaemon,
    subject: EvidenceSubject,
    { shadowVersion }: ModelAssignment,
    requestId: string,
  ): void {
    if (shadowVersion !== undefined) {
      this.shadowAnswers += 1;
      const stable = { subject, answer: 'answer' };
      const candidate = { subject: { ...subject, version: shadowVersion }, answer: 'answer' };
      system.evidence.submitPair({ requestId, prompt: 'prompt', stable, candidate });
    }
  }

  async #run(daemon: TestDaemon, subject: EvidenceSubject): Promise<void> {
    const { getEnd = () => 'complete' as const } = this.#options;
    const isCandidate = subject.version === asId<VersionId>(CANDIDATE);
    this.candidateAnswers += Number(isCandidate);
    this.stableAnswers += Number(!isCandidate);
    await new Promise((resolve) => {
      setTimeout(resolve, ANSWER_MS);
    });
    daemon.system.evidence.recordEnding(subject, {
      end: getEnd(subject.version),
      firstTokenMs: 100,
      totalMs: ANSWER_MS,
    });
  }
}

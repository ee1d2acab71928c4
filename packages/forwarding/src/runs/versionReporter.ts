/**
 * Reports to the roll-out how one attempt went on its software version, and which session it
 * served.
 */
import { shortenName } from '@snipehaven/common';
import type { AwaitedAnswer, BodyProgress, RolloutWork } from '../rollouts/index.js';
import type { UpstreamEntry, UpstreamOutcome } from '../upstreams/index.js';
import type { CallerRequest } from './callerRequest.js';
import { RECENT_ACTIVITY_MS } from './constants.js';
import type { ForwardDependencies } from './dependencies.js';

/** The pace of a longer answer is known after this time. */
const TIMED_BODY_MS = 500;

export interface ReportedAttempt {
  readonly entry: UpstreamEntry;
  readonly route: { readonly name: string };
  readonly model: string | undefined;
  /** Expected time until the answer begins. */
  readonly expectedMs: number;
}

export class VersionReporter {
  readonly #dependencies: ForwardDependencies;

  readonly #request: CallerRequest;

  readonly #entry: UpstreamEntry;

  readonly #work: RolloutWork;

  readonly #expectedMs: number;

  #awaited: AwaitedAnswer | undefined;

  #sentAtMs = performance.now();

  #slowMs = Infinity;

  #slowTimer: NodeJS.Timeout | undefined;

  #isReportedSlow = false;

  #beganAtMs: number | undefined;

  #lastBytesAtMs = 0;

  #isThroughputValid = true;

  #isBodyTimed = false;

  #bytes = 0;

  constructor(
    dependencies: ForwardDependencies,
    request: CallerRequest,
    { entry, route, model, expectedMs }: ReportedAttempt,
  ) {
    const { service, softwareVersion, dataCentre } = entry.upstream;
    this.#dependencies = dependencies;
    this.#request = request;
    this.#entry = entry;
    this.#expectedMs = expectedMs;
    const workKind = `${route.name}|${model ?? ''}`;
    this.#work = { service, softwareVersion, dataCentre, workKind };
  }

  /**
   * Starts a timer, so that a version that hangs is reported as slow even if its responses never
   * start.
   */
  onSent(): void {
    this.#sentAtMs = performance.now();
    this.#awaited = this.#dependencies.rollouts.startAnswer(this.#work, {
      expectedMs: this.#expectedMs,
      isUpstreamSilent: () => this.#isUpstreamSilent,
    });
    this.#slowMs = this.#dependencies.rollouts.getSlowMs(this.#work);
    if (Number.isFinite(this.#slowMs)) {
      this.#slowTimer = setTimeout(() => this.#reportSlow(), this.#slowMs + 1);
    }
  }

  onResponseStart(): void {
    const nowMs = performance.now();
    this.#beganAtMs = nowMs;
    this.#lastBytesAtMs = nowMs;
    this.clearSlowTimer();
  }

  onBytes(bytes: number): void {
    const nowMs = performance.now();
    const isStall = nowMs - this.#lastBytesAtMs > RECENT_ACTIVITY_MS;
    this.#lastBytesAtMs = nowMs;
    this.#bytes += bytes;
    if (isStall) {
      this.excludeThroughput();
    }
    const { rollouts } = this.#dependencies;
    if (this.#body.tookMs >= TIMED_BODY_MS) {
      this.#recordBodyTime();
    }
    if (
      this.#isThroughputValid &&
      !this.#isReportedSlow &&
      rollouts.isBodySlow(this.#work, this.#body)
    ) {
      this.#isReportedSlow = true;
      rollouts.recordSlowBody(this.#work, this.#body);
    }
  }

  onResponseComplete(): void {
    this.#recordBodyTime();
    if (this.#isThroughputValid) {
      this.#dependencies.rollouts.recordBodyRate(this.#work, this.#body);
    }
  }

  /**
   * Excludes the throughput from the report: the caller reads slowly or the network stalled, so
   * that the version is not the cause.
   */
  excludeThroughput(): void {
    this.#isThroughputValid = false;
  }

  /** Stops the timer for slow responses once the attempt no longer waits. */
  clearSlowTimer(): void {
    clearTimeout(this.#slowTimer);
  }

  /** The attempt no longer waits for an answer. */
  onReleased(): void {
    this.clearSlowTimer();
    if (this.#awaited !== undefined) {
      this.#dependencies.rollouts.abandonAnswer(this.#work, this.#awaited);
    }
  }

  /**
   * Reports only outcomes that the upstream's software may have caused: not refusals or unreachable
   * machines.
   */
  reportOutcome(outcome: UpstreamOutcome): void {
    this.#settleAwaited(outcome);
    if (outcome === 'failed') {
      this.#dependencies.rollouts.recordAnswer({ ...this.#work, isFailed: true });
    }
    if (outcome === 'answered' && !this.#isReportedSlow) {
      this.#reportHeadTime();
    }
  }

  /**
   * Records that the session's request runs or has ended: a session's lifetime counts from the end
   * of one request to the start of the next.
   */
  recordSessionRun(): void {
    const { session, attemptId } = this.#request.options;
    const { service, softwareVersion } = this.#work;
    if (session !== undefined) {
      const answer = { service, session, softwareVersion, request: shortenName(attemptId) };
      this.#dependencies.rollouts.recordSessionRun(answer);
    }
  }

  #recordBodyTime(): void {
    if (this.#isThroughputValid && !this.#isBodyTimed) {
      this.#isBodyTimed = true;
      this.#dependencies.rollouts.recordBodyTime(this.#work, this.#body);
    }
  }

  #settleAwaited(outcome: UpstreamOutcome): void {
    const { rollouts } = this.#dependencies;
    if (this.#awaited === undefined) {
      return;
    }
    if (outcome === 'answered') {
      rollouts.finishAnswer(this.#work, this.#awaited);
    } else {
      rollouts.dropAnswer(this.#work, this.#awaited);
    }
  }

  get #isUpstreamSilent(): boolean {
    return performance.now() - this.#entry.lastBytesAtMs >= RECENT_ACTIVITY_MS;
  }

  /** Skipped when the whole upstream machine is silent, as its software may not be the cause. */
  #reportSlow(): void {
    if (!this.#isUpstreamSilent) {
      this.#isReportedSlow = true;
      this.#reportHeadTime();
    }
  }

  get #body(): BodyProgress {
    const nowMs = performance.now();
    return { bytes: this.#bytes, tookMs: nowMs - (this.#beganAtMs ?? nowMs) };
  }

  #reportHeadTime(): void {
    const headMs = performance.now() - this.#sentAtMs;
    this.#isReportedSlow ||= headMs > this.#slowMs;
    this.#dependencies.rollouts.recordAnswer({ ...this.#work, isFailed: false, headMs });
  }
}

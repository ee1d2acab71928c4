/** Sends a request to one upstream and tracks its load, silence and outcome. */
import { shortenName, type RequestDigest } from '@snipehaven/common';
import {
  END_TOGETHER_MS,
  MIN_SILENCE_MS,
  SILENCE_TARGETS,
  STREAM_SILENCE_GAPS,
  STREAM_START_TARGETS,
} from '../constants.js';
import {
  Exchange,
  type ConnectionEnd,
  type ResponseFraming,
  type ResponseHead,
  type ExchangeFailure,
  type ExchangeListener,
  type ForeignAnswer,
  type UpstreamConnection,
} from '../exchange/index.js';
import type { Place } from '../places/index.js';
import type { ForwardRoute, UpstreamHeaderValues } from '../types.js';
import {
  endVerdicts,
  type EndEvidence,
  type ExitVerdict,
  type InFlightRequest,
  type UpstreamEntry,
  type UpstreamOutcome,
} from '../upstreams/index.js';
import type { CallerRequest } from './callerRequest.js';
import { MIN_LOST_SILENCE_MS, PATH_CHECK_MS, RECENT_ACTIVITY_MS } from './constants.js';
import type { ForwardDependencies } from './dependencies.js';
import type { CutReason } from './relays.js';
import { VersionReporter } from './versionReporter.js';

export interface AttemptPlan {
  readonly entry: UpstreamEntry;
  readonly startWork: number;
  readonly runWork: number;
  readonly workAhead: number;
  readonly service: string;
  readonly route: ForwardRoute;
  readonly model: string | undefined;
  readonly teamName: string | undefined;
  readonly teamPriority: number | undefined;
  readonly lastEventId: number | undefined;
  readonly remainingMs: number;
  /** Resumes a response of which the caller has received a part. */
  readonly isResumed: boolean;
  /** At an upstream that can turn few requests away. */
  readonly place: Place | undefined;
  /** Connections on which the request was sent before. */
  readonly usedConnections: Set<UpstreamConnection>;
}

export interface AttemptListener extends Omit<ExchangeListener, 'onReadable'> {
  /** Returns true if the attempt was abandoned because of the silence. */
  onSilence(silentMs: number): boolean;
  /** Digest of the request content; computed on first use. */
  readonly digest: RequestDigest;
  /** Digests of the parts of its prompt that other requests may share; computed on first use. */
  readonly partDigests: readonly RequestDigest[];
  /** Why the end of its connection can't be the end of the response; undefined if it can be. */
  readonly cutReason: CutReason | undefined;
  /**
   * The response has ended with its connection, and the upstream showed no sign that it is cut. Returns
   * true if it is to count as lost all the same.
   */
  isLostAtEnd(evidence: EndEvidence): boolean;
  /** Called when the request is held back and this attempt's response has not begun. */
  onHeld(): void;
}

const LOWEST_ENGINE_PRIORITY = 9;

const cutCauses: Readonly<Record<CutReason, string>> = {
  insideEvent: 'connection ended inside an event',
  noEvent: 'connection ended before the first event',
};

const getInitialSilenceMs = ({ kind, targetLatencyMs }: ForwardRoute): number =>
  kind === 'stream'
    ? targetLatencyMs * STREAM_START_TARGETS
    : Math.max(MIN_SILENCE_MS, targetLatencyMs * SILENCE_TARGETS);

export class Attempt implements InFlightRequest {
  readonly #dependencies: ForwardDependencies;

  readonly #request: CallerRequest;

  readonly #listener: AttemptListener;

  readonly #plan: AttemptPlan;

  readonly #exchange: Exchange;

  readonly #reporter: VersionReporter;

  #silenceTimer: NodeJS.Timeout | undefined;

  #pathTimer: NodeJS.Timeout | undefined;

  #lastHeardAtMs = performance.now();

  #startedAtMs = performance.now();

  #beganAtMs: number | undefined;

  #exitVerdict: Promise<ExitVerdict> = Promise.resolve('unknown');

  #headMs: number | undefined;

  #framing: ResponseFraming | undefined;

  /** The response was read, and whether it is whole is being found out. */
  #isEnding = false;

  #endEvidence: EndEvidence | undefined;

  #silenceMs: number;

  #isListening = true;

  #isLoadCounted = false;

  /** Work still counted in the upstream's load. */
  #countedWork = 0;

  /** False only if it is certain that the upstream did not run the request. */
  #mayHaveRun = false;

  constructor(
    dependencies: ForwardDependencies,
    request: CallerRequest,
    listener: AttemptListener,
    plan: AttemptPlan,
  ) {
    this.#dependencies = dependencies;
    this.#request = request;
    this.#listener = listener;
    this.#plan = plan;
    const expectedMs = dependencies.getWorkPace(plan.service).estimateStartMs(plan.workAhead);
    this.#reporter = new VersionReporter(dependencies, request, { ...plan, expectedMs });
    this.#silenceMs = getInitialSilenceMs(plan.route);
    this.#exchange = new Exchange(
      plan.entry.pool,
      {
        method: request.method,
        target: request.target,
        headers: dependencies.dialect.buildUpstreamHeaders(
          request.headers,
          this.#getHeaderValues(),
        ),
        body: request.body,
        attemptId: request.options.attemptId,
        isFreshConnectionNeeded: plan.route.kind === 'nonIdempotent',
        usedConnections: plan.usedConnections,
      },
      dependencies.dialect,
      {
        onReadable: () => dependencies.stalls.note('upstreamAnswer', this.attemptId),
        onHead: (head) => this.#onHead(head),
        onData: (bytes) => this.#onData(bytes),
        onEnd: () => this.#onEnd(),
        onFailure: (failure) => this.#onFailure(failure),
      },
    );
  }

  /** Of bounded length, as it is logged and remembered. */
  get attemptId(): string {
    return shortenName(this.#request.options.attemptId);
  }

  /** How the end of the response is marked; undefined before its headers. */
  get framing(): ResponseFraming | undefined {
    return this.#framing;
  }

  /** What the upstream showed as it ended a response by its connection; undefined for any other. */
  get endEvidence(): EndEvidence | undefined {
    return this.#endEvidence;
  }

  /** Other connections to the upstream that ended lately. */
  listEndsBeside(): readonly ConnectionEnd[] {
    const sinceMs = performance.now() - END_TOGETHER_MS;
    return this.#plan.entry.pool.ends.listOthersSince(sinceMs, this.attemptId);
  }

  /** Whether it goes on with a response that another upstream began. */
  get isResumed(): boolean {
    return this.#plan.isResumed;
  }

  get service(): string {
    return this.#plan.service;
  }

  get digest(): RequestDigest {
    return this.#listener.digest;
  }

  get partDigests(): readonly RequestDigest[] {
    return this.#listener.partDigests;
  }

  get sentAtMs(): number {
    return this.#startedAtMs;
  }

  /** An engine may send the head of its answer long before it begins to run the request. */
  get beganAtMs(): number | undefined {
    return this.#beganAtMs;
  }

  /** Time until the response headers arrived; undefined before. */
  get headMs(): number | undefined {
    return this.#headMs;
  }

  start(): void {
    this.#isLoadCounted = true;
    this.#startedAtMs = performance.now();
    this.#countedWork = this.#plan.startWork + this.#plan.runWork;
    this.#plan.entry.startRequest(this.#countedWork);
    this.#plan.entry.exitDetector.addRequest(this);
    this.#mayHaveRun = true;
    this.#dependencies.notePlaced(this.#countedWork);
    this.#armSilenceTimer();
    this.#pathTimer = setTimeout(() => this.#plan.entry.checkPath(), PATH_CHECK_MS);
    this.#reporter.onSent();
    this.#exchange.start();
  }

  pause(): void {
    this.#reporter.excludeThroughput();
    clearTimeout(this.#silenceTimer);
    this.#exchange.pause();
  }

  /**
   * Resumes reading. The silence timer restarts, as nothing was read from the upstream while
   * paused.
   */
  resume(): void {
    if (!this.#isListening) {
      return;
    }
    this.#lastHeardAtMs = performance.now();
    this.#armSilenceTimer();
    this.#exchange.resume();
  }

  /** Whether the upstream process exited, after this request was lost there. */
  get exitVerdict(): Promise<ExitVerdict> {
    return this.#exitVerdict;
  }

  onHeld(): void {
    if (this.#isListening && this.#beganAtMs === undefined) {
      this.#listener.onHeld();
    }
  }

  /** Moves a repeatable request that is silent on a direct connection to another path. */
  onPathLost(): void {
    const silentMs = performance.now() - this.#lastHeardAtMs;
    const isLost = this.#exchange.path === 'direct' && silentMs >= MIN_LOST_SILENCE_MS;
    if (this.#isListening && isLost) {
      this.#listener.onSilence(silentMs);
    }
  }

  recordOutcome(outcome: UpstreamOutcome): void {
    this.#plan.entry.recordOutcome(outcome, performance.now());
    this.#reporter.reportOutcome(outcome);
  }

  /** Closes the connection of an answer that can't be used, as if it had been lost. */
  breakOff(cause: string): void {
    this.#exchange.abort();
    this.#onFailure({ verdict: 'broken', cause });
  }

  /** Ignores the rest of the exchange, which ends by itself. */
  detach(): void {
    this.#isListening = false;
    clearTimeout(this.#pathTimer);
    clearTimeout(this.#silenceTimer);
  }

  /** Cancels the request at the upstream by closing its connection. */
  abort(): void {
    this.detach();
    this.#releaseLoad();
    this.#plan.place?.release('abandoned');
    this.#exchange.abort();
  }

  #getHeaderValues(): UpstreamHeaderValues {
    const { entry, route, model, teamName, teamPriority, lastEventId, remainingMs } = this.#plan;
    const priority = this.#plan.isResumed ? 0 : (teamPriority ?? route.priority);
    return {
      upstreamId: entry.id,
      remainingMs: Math.max(1, Math.floor(remainingMs)),
      ...(teamName === undefined ? {} : { team: teamName }),
      ...(model === undefined ? {} : { model }),
      ...(lastEventId === undefined ? {} : { lastEventId }),
      ...(route.kind === 'stream'
        ? { enginePriority: Math.min(LOWEST_ENGINE_PRIORITY, priority) }
        : {}),
    };
  }

  #onHead(head: ResponseHead): void {
    clearTimeout(this.#pathTimer);
    this.#framing = head.framing;
    this.#reporter.onResponseStart();
    this.#recordActivity();
    this.#mayHaveRun = !head.facts.isNotRun;
    this.#recordStatements(head);
    if (head.facts.isNotRun) {
      this.#plan.place?.release(head.facts.isMisdirected ? 'ended' : 'turnedAway');
    }
    if (this.#mayHaveRun) {
      this.#plan.entry.exitDetector.onResponseStarted(this);
      this.#reporter.recordSessionRun();
    }
    const { service, workAhead, isResumed } = this.#plan;
    const tookMs = performance.now() - this.#startedAtMs;
    this.#headMs = tookMs;
    if (!head.facts.isNotRun && !isResumed) {
      this.#dependencies.getWorkPace(service).recordAnswer(workAhead, tookMs);
    }
    if (this.#isLoadCounted) {
      this.#plan.entry.reduceWork(this.#plan.startWork);
      this.#countedWork = this.#plan.runWork;
    }
    if (this.#isListening) {
      this.#listener.onHead(head);
    }
  }

  #onData(bytes: Buffer): void {
    this.#recordActivity();
    this.#beganAtMs ??= performance.now();
    this.#reporter.onBytes(bytes.length);
    this.#silenceMs =
      this.#plan.route.kind === 'stream'
        ? this.#plan.route.targetGapMs * STREAM_SILENCE_GAPS
        : this.#silenceMs;
    if (this.#isListening) {
      this.#listener.onData(bytes);
    }
  }

  #onEnd(): void {
    if (!this.#isListening || this.#framing !== 'untilClose') {
      this.#complete();
      return;
    }
    const { cutReason } = this.#listener;
    if (cutReason !== undefined) {
      this.#onFailure({ verdict: 'broken', cause: cutCauses[cutReason] });
      return;
    }
    void this.#settleEnd();
  }

  /** The end of the connection is the end of the response only if the upstream's process lives on. */
  async #settleEnd(): Promise<void> {
    this.#isEnding = true;
    clearTimeout(this.#silenceTimer);
    const { entry, service } = this.#plan;
    const evidence = await entry.endProver.prove(this.attemptId);
    this.#endEvidence = evidence;
    this.#dependencies.metrics.countUnframedEnd(service, evidence);
    if (!this.#isLoadCounted) {
      // Aborted meanwhile.
      return;
    }
    const isLost =
      this.#isListening &&
      (endVerdicts[evidence] === 'cut' || this.#listener.isLostAtEnd(evidence));
    if (isLost) {
      const cause = `connection ended, which does not prove the end: ${evidence}`;
      this.#onFailure({ verdict: 'broken', cause });
    } else {
      this.#complete();
    }
  }

  #complete(): void {
    this.#reporter.onResponseComplete();
    this.#releaseLoad();
    this.#plan.place?.release('ended');
    clearTimeout(this.#silenceTimer);
    if (this.#isListening) {
      this.#isListening = false;
      this.#listener.onEnd();
    }
  }

  #onFailure(failure: ExchangeFailure): void {
    this.#mayHaveRun &&= failure.verdict !== 'notSent';
    this.#releaseLoad();
    this.#plan.place?.release(failure.verdict === 'notSent' ? 'unused' : 'abandoned');
    clearTimeout(this.#pathTimer);
    clearTimeout(this.#silenceTimer);
    if (failure.foreignAnswer !== undefined) {
      this.#reportForeignAnswer(failure.foreignAnswer);
    }
    if (this.#isListening) {
      this.#isListening = false;
      if (failure.verdict === 'notSent') {
        this.recordOutcome('unreachable');
      } else {
        this.#exitVerdict = this.#plan.entry.exitDetector.onConnectionLost(this);
        void this.#settleLoss();
      }
      this.#listener.onFailure(failure);
    }
  }

  /**
   * Reports a failure to the roll-out only if the upstream process did not exit, as one exit would
   * otherwise count against its version once for each request lost with it, and if the connection
   * was not lost on the way.
   */
  async #settleLoss(): Promise<void> {
    this.#plan.entry.recordOutcome('failed', performance.now());
    const isEnded = (await this.#exitVerdict) === 'ended';
    const isPathDoubtful = this.#exchange.path === 'relayed' || this.#plan.entry.isPathLost;
    if (!isEnded && !isPathDoubtful) {
      this.#reporter.reportOutcome('failed');
    }
  }

  #reportForeignAnswer({ status, attemptId }: ForeignAnswer): void {
    const { entry, service } = this.#plan;
    const { logger, metrics } = this.#dependencies;
    metrics.countForeignAnswer(service, attemptId === undefined ? 'noId' : 'otherAttempt');
    logger.warn({
      event: 'foreignAnswer',
      request: this.attemptId,
      answered: attemptId,
      status,
      upstream: entry.id,
    });
  }

  /** A misdirected request was answered by another upstream at the address. */
  #recordStatements({ facts }: ResponseHead): void {
    if (facts.isMisdirected) {
      return;
    }
    const { entry } = this.#plan;
    const { rateLimits, leavings, backOffs, brittle } = this.#dependencies;
    rateLimits.recordAnswer(entry, facts.rateLimit, this.#startedAtMs);
    backOffs.recordAnswer(entry, facts.backOff, this.#startedAtMs);
    brittle.recordAnswer(entry, facts.brittleness, this.#startedAtMs);
    if (facts.isLeaving) {
      leavings.recordAnswer(entry);
    }
  }

  #recordActivity(): void {
    const nowMs = performance.now();
    this.#lastHeardAtMs = nowMs;
    this.#plan.entry.recordActivity(nowMs, this.#exchange.path);
  }

  #armSilenceTimer(): void {
    clearTimeout(this.#silenceTimer);
    if (this.#isEnding) {
      return;
    }
    const dueInMs = this.#lastHeardAtMs + this.#silenceMs - performance.now();
    this.#silenceTimer = setTimeout(() => this.#checkSilence(), Math.max(1, dueInMs));
  }

  #checkSilence(): void {
    const nowMs = performance.now();
    const silentMs = nowMs - this.#lastHeardAtMs;
    if (silentMs < this.#silenceMs) {
      this.#armSilenceTimer();
      return;
    }
    // An engine that sends bytes to other requests has this one queued; moving it would lose its
    // position in the queue.
    const isAlive = nowMs - this.#plan.entry.lastBytesAtMs < RECENT_ACTIVITY_MS;
    const isWaitingInLine =
      this.#plan.route.kind === 'stream' && isAlive && silentMs < this.#silenceMs * 2;
    if (isWaitingInLine) {
      this.#silenceTimer = setTimeout(() => this.#checkSilence(), RECENT_ACTIVITY_MS);
      return;
    }
    if (this.#listener.onSilence(silentMs)) {
      this.recordOutcome(isAlive ? 'failed' : 'unreachable');
    }
  }

  #releaseLoad(): void {
    this.#reporter.onReleased();
    if (this.#isLoadCounted) {
      this.#isLoadCounted = false;
      this.#plan.entry.finishRequest(this.#countedWork);
      this.#plan.entry.exitDetector.removeRequest(this);
      if (this.#mayHaveRun) {
        this.#reporter.recordSessionRun();
      }
    }
  }
}

/** Handles one caller attempt, from the complete request to the final response. */
import { shortenName, sleep, type RequestDigest } from '@snipehaven/common';
import {
  isUnspent,
  mayTryAgain,
  pickTarget,
  type AttemptOutcome,
  type RepeatPurpose,
} from '@snipehaven/policy';
import { MIN_ATTEMPT_MS, MIN_RETRY_AFTER_S } from '../constants.js';
import { digestRequest, digestSharedParts, type Hold, type MainSuspect } from '../crashes/index.js';
import type {
  ConnectionEnd,
  ResponseHead,
  ExchangeFailure,
  UpstreamConnection,
} from '../exchange/index.js';
import type { ForwardRoute } from '../types.js';
import { endVerdicts, type EndEvidence, type HoldOff } from '../upstreams/index.js';
import type { Place } from '../places/index.js';
import { Attempt, type AttemptListener } from './attempt.js';
import type { ForwardDependencies } from './dependencies.js';
import { buildRefusal } from './buildRefusal.js';
import type { CallerRequest } from './callerRequest.js';
import { describePlacement } from './describePlacement.js';
import { findLargerModel, type LargerModel } from './findLargerModel.js';
import { findPlacement, type RequestPlacement } from './findPlacement.js';
import {
  findHoldOff,
  findSessionExpiryWait,
  isStillOpen,
  listCandidates,
} from './listCandidates.js';
import { toReasonAfterRun } from './refusals.js';
import type { PlacementQuery } from './placementQuery.js';
import { ResponseTiming, roundMs } from './responseTiming.js';
import { relayFactories, type CutReason, type ResponseRelay } from './relays.js';
import { isRefused, resolveRequest, type ResolvedRequest } from './resolveRequest.js';
import { isSuccess, type CallerPort, type RefusalReason } from './types.js';

/**
 * Wait for the probe of an upstream's process. Its machine answers within a round trip; after a
 * longer time no answer is to be expected.
 */
const EXIT_PROBE_WAIT_MS = 100;

const MS_PER_S = 1_000;

/** About the time in which a busy upstream ends a request; places are free sooner, but others ask too. */
const FULL_RETRY_MS = 200;

/** How often and how long a repeat waits for a place at an upstream that can turn few requests away. */
const MAX_WAITS_FOR_PLACE = 20;
const PLACE_WAIT_MS = 50;

/** Bounds the length of a log line. */
const MAX_LOGGED_PARTS = 8;
const MAX_LOGGED_ENDS = 4;

/**
 * Share of the wait that is added at random to Retry-After. Without it, all callers that were refused
 * meanwhile would return at the same moment.
 */
const waitSpread: Readonly<Partial<Record<RefusalReason, number>>> = {
  upstreamsLimited: 0.25,
  upstreamsBackedOff: 0.25,
  upstreamsFull: 0.25,
};

const getSecondsLeft = ({ untilMs }: Hold): number =>
  Math.max(1, Math.ceil((untilMs - performance.now()) / MS_PER_S));

/** How long a session waits for its version, whose upstreams are evacuated. */
interface SessionHoldOff {
  readonly reason: 'versionEvacuated';
  readonly waitMs: number;
}

const describeEnds = (ends: readonly ConnectionEnd[]) =>
  ends.slice(-MAX_LOGGED_ENDS).map(({ atMs, ending, attemptId }) => ({
    request: attemptId,
    ending,
    beforeMs: Math.round(performance.now() - atMs),
  }));

const isRepeatable = (route: ForwardRoute): boolean =>
  route.kind === 'idempotent' || (route.kind === 'stream' && route.isResumable);

export class ForwardRun implements AttemptListener {
  readonly #dependencies: ForwardDependencies;

  readonly #request: CallerRequest;

  readonly #port: CallerPort;

  readonly #relay: ResponseRelay;

  readonly #deadlineAtMs: number;

  readonly #deadlineTimer: NodeJS.Timeout;

  readonly #usedUpstreams = new Set<string>();

  readonly #usedConnections = new Set<UpstreamConnection>();

  /** Incarnations of upstreams that have no free place for the next attempt. */
  readonly #fullUpstreams = new Set<string>();

  #resolved: ResolvedRequest;

  #attempt: Attempt | undefined;

  #model: string | undefined;

  /** Confidence that the model reported for the relayed answer, 0 to 100. */
  #confidence: number | undefined;

  readonly #timing: ResponseTiming;

  /** HTTP status of the relayed response. */
  #status: number | undefined;

  #countedAttempts = 0;

  #waitsForPlace = 0;

  #uncountedAttempts = 0;

  #mayHaveRun = false;

  #isFinished = false;

  /** Of a whole response that brought nothing and is asked for once more; undefined once one brings more. */
  #emptyHead: ResponseHead | undefined;

  #hasEndedEmpty = false;

  /** A response was lost inside an event that none has brought since. */
  #isEventMissing = false;

  /** Of the current response. */
  #head: ResponseHead | undefined;

  #digest: RequestDigest | undefined;

  #partDigests: readonly RequestDigest[] | undefined;

  constructor(
    dependencies: ForwardDependencies,
    request: CallerRequest,
    resolved: ResolvedRequest,
    port: CallerPort,
  ) {
    this.#dependencies = dependencies;
    this.#request = request;
    this.#resolved = resolved;
    this.#port = port;
    const { route } = resolved;
    const { options, arrivedAtMs } = request;
    this.#timing = new ResponseTiming(arrivedAtMs);
    this.#relay = relayFactories[route.kind]({
      port,
      dialect: dependencies.dialect,
      memory: dependencies.eventMemory,
      answerMemory: dependencies.answerMemory,
      lastEventId: options.lastEventId,
    });
    [this.#model] = route.models;
    const waitMs = Math.min(route.timeoutMs, options.deadlineMs ?? Infinity);
    this.#deadlineAtMs = arrivedAtMs + waitMs;
    this.#deadlineTimer = setTimeout(() => this.#onDeadline(), this.#getRemainingMs());
    port.onDrain(() => this.#attempt?.resume());
  }

  get digest(): RequestDigest {
    this.#digest ??= digestRequest({ ...this.#request, team: this.#resolved.team?.name });
    return this.#digest;
  }

  get partDigests(): readonly RequestDigest[] {
    this.#partDigests ??= digestSharedParts(this.#request.options.promptParts);
    return this.#partDigests;
  }

  start(): void {
    if (this.#isFinished) {
      return;
    }
    this.#dependencies.crashes.noteRequest(this.partDigests);
    if (this.#hold !== undefined) {
      this.#concludeFailure('held');
      return;
    }
    const service = this.#pickService();
    this.#dependencies.getRepeatBudget(service).countFirst(performance.now());
    this.#send(service);
  }

  /** Called when the caller closed its connection, as nobody waits for the response any more. */
  cancel(): void {
    if (!this.#isFinished) {
      this.#log('callerGone', { attempts: this.#countedAttempts, ...this.#describeEnd() });
      this.#finish('callerGone');
    }
  }

  onHead(head: ResponseHead): void {
    const { isNotRun, isMisdirected } = head.facts;
    if (isNotRun) {
      this.#attempt?.recordOutcome(isMisdirected ? 'unreachable' : 'refused');
      this.#retryOrConclude(isMisdirected ? 'misdirected' : 'refused', `status ${head.status}`);
      return;
    }
    this.#mayHaveRun = true;
    if (!isSuccess(head.status)) {
      this.#handleFailureHead(head);
      return;
    }
    this.#handleSuccessHead(head);
  }

  onData(bytes: Buffer): void {
    this.#emptyHead = undefined;
    this.#timing.recordBytes(performance.now());
    const progress = this.#relay.relay(bytes);
    if (progress === 'blocked') {
      this.#attempt?.pause();
    } else if (progress === 'eventTooLong') {
      this.#attempt?.breakOff('an event is too long');
    }
  }

  get cutReason(): CutReason | undefined {
    return this.#relay.cutReason;
  }

  /**
   * A repeatable request is asked again, and so is one whose response brought nothing, until a second one
   * brings nothing either. A stream that can't be resumed here any more can be by its caller.
   */
  isLostAtEnd(evidence: EndEvidence): boolean {
    const { route } = this.#resolved;
    if (!isRepeatable(route)) {
      return false;
    }
    if (endVerdicts[evidence] === 'whole') {
      return this.#isStillMissingEvent || this.#asksAgainAfterEmpty();
    }
    return route.kind === 'stream' || this.#canTryAgain('unknown');
  }

  #dropPending(): void {
    this.#isEventMissing = this.#relay.isInsideEvent || this.#isStillMissingEvent;
    this.#relay.discardPending();
  }

  get #isStillMissingEvent(): boolean {
    return this.#isEventMissing && this.#relay.isEmpty;
  }

  #asksAgainAfterEmpty(): boolean {
    const isSure = this.#hasEndedEmpty || !this.#relay.isEmpty;
    if (isSure || !isSuccess(this.#status ?? 0) || !this.#canTryAgain('unknown')) {
      return false;
    }
    this.#hasEndedEmpty = true;
    this.#emptyHead = this.#head;
    return true;
  }

  onEnd(): void {
    this.#emptyHead = undefined;
    this.#relay.finish();
    this.#reportSuccess();
    this.#log('answered', {
      status: this.#status,
      attempts: this.#countedAttempts,
      model: this.#model,
      confidence: this.#confidence,
      upstreamMs: roundMs(this.#attempt?.headMs),
      ...this.#timing.describe(this.#resolved.route),
      ...this.#describeEnd(),
    });
    this.#finish('answered');
  }

  onFailure({ verdict, cause }: ExchangeFailure): void {
    if (verdict === 'notSent') {
      this.#retryOrConclude('notSent', cause);
      return;
    }
    this.#mayHaveRun = true;
    this.#dropPending();
    void this.#retryOrConcludeAfterLoss(cause);
  }

  /** Called when upstream exits seen by other daemons cause the request to be held back. */
  onHeld(): void {
    this.#attempt?.abort();
    this.#mayHaveRun = true;
    this.#concludeFailure('held');
  }

  /**
   * Called when the upstream has been silent for too long; a repeatable request moves to another
   * one.
   */
  onSilence(silentMs: number): boolean {
    if (!isRepeatable(this.#resolved.route) || !this.#canTryAgain('unknown')) {
      return false;
    }
    if (!this.#tryTakeRetryBudget('failure')) {
      return false;
    }
    this.#attempt?.abort();
    this.#mayHaveRun = true;
    this.#dropPending();
    this.#log('movedOnSilence', { silentMs: Math.round(silentMs) });
    this.#resend();
    return true;
  }

  #handleFailureHead(head: ResponseHead): void {
    this.#attempt?.recordOutcome('failed');
    const canRepeat =
      isRepeatable(this.#resolved.route) &&
      this.#canTryAgain('failed') &&
      this.#tryTakeRetryBudget('failure');
    if (canRepeat) {
      this.#attempt?.detach();
      this.#log('repeatedAfterFailure', { status: head.status });
      this.#resend();
      return;
    }
    if (this.#relay.hasBegun) {
      this.#attempt?.detach();
      this.#concludeFailure('upstreamFailed');
      return;
    }
    this.#status = head.status;
    this.#relay.begin(head);
  }

  #handleSuccessHead(head: ResponseHead): void {
    this.#attempt?.recordOutcome('answered');
    const largerModel = this.#findLargerModel(head);
    if (largerModel !== undefined && this.#tryTakeRetryBudget('quality')) {
      this.#attempt?.abort();
      this.#log('askedLargerModel', {
        confidence: head.facts.confidence,
        upstreamMs: roundMs(this.#attempt?.headMs),
        ...largerModel,
      });
      this.#model = largerModel.model;
      this.#resend();
      return;
    }
    this.#status = head.status;
    this.#head = head;
    this.#confidence = head.facts.confidence;
    this.#relay.begin(head);
  }

  #findLargerModel({ facts: { confidence } }: ResponseHead): LargerModel | undefined {
    return this.#relay.hasBegun
      ? undefined
      : findLargerModel(this.#dependencies, {
          request: this.#request,
          resolved: this.#resolved,
          service: this.#attempt?.service ?? '',
          model: this.#model,
          confidence,
          usedUpstreams: this.#usedUpstreams,
          canAttemptAgain: this.#canTryAgain('failed'),
        });
  }

  /**
   * Waits for the probe of the lost upstream before retrying: a request that made its upstream exit
   * must not reach the next one before this is known. The machine's answer takes a round trip;
   * callers whose requests cannot be repeated are not kept waiting for it.
   */
  async #retryOrConcludeAfterLoss(cause: string): Promise<void> {
    if (this.#canTryAgain('unknown')) {
      await Promise.race([this.#attempt?.exitVerdict, sleep(EXIT_PROBE_WAIT_MS)]);
    }
    if (!this.#isFinished) {
      this.#retryOrConclude('unknown', cause);
    }
  }

  #retryOrConclude(outcome: AttemptOutcome, cause: string): void {
    this.#relay.discardPending();
    if (isUnspent(outcome)) {
      this.#countedAttempts -= 1;
      this.#uncountedAttempts += 1;
    }
    this.#mayHaveRun ||= outcome === 'unknown';
    const isHeld = this.#hold !== undefined;
    const canRepeat =
      !isHeld &&
      this.#canTryAgain(outcome) &&
      (outcome === 'notSent' || this.#tryTakeRetryBudget('failure'));
    const content =
      outcome === 'unknown' ? { digest: this.digest, parts: this.#listLoggedParts() } : {};
    this.#log('attemptFailed', {
      outcome,
      cause,
      repeated: canRepeat,
      ...content,
      ...this.#describeEnd(),
    });
    this.#attempt?.detach();
    if (canRepeat) {
      this.#resend();
      return;
    }
    const isNotRun = outcome === 'refused' || isUnspent(outcome);
    if (isNotRun && !isHeld) {
      this.#concludeTurnedAway();
      return;
    }
    this.#concludeFailure(isHeld ? 'held' : 'upstreamFailed');
  }

  /** The parts of the prompt that other requests may share. */
  #listLoggedParts(): readonly string[] {
    const shared = this.#request.options.promptParts.slice(0, -1);
    return shared.slice(0, MAX_LOGGED_PARTS).map(({ id }) => id);
  }

  /** Tells the caller for how long no upstream accepts requests, if that is known. */
  #concludeTurnedAway(): void {
    const query = this.#createQuery(this.#attempt?.service ?? '');
    const isAnyOpen =
      listCandidates(this.#dependencies, query, performance.now()).entries.length > 0;
    const holdOff = isAnyOpen ? undefined : findHoldOff(this.#dependencies, query);
    if (holdOff === undefined) {
      this.#concludeFailure('upstreamsBusy');
    } else {
      this.#concludeHeldOff(holdOff);
    }
  }

  #canTryAgain(outcome: AttemptOutcome): boolean {
    return (
      this.#relay.canGoOn &&
      mayTryAgain({
        outcome,
        isRepeatable: isRepeatable(this.#resolved.route),
        sent: this.#countedAttempts,
        maxAttempts: this.#resolved.route.maxAttempts,
        unsent: this.#uncountedAttempts,
        remainingMs: this.#getRemainingMs(),
        minAttemptMs: MIN_ATTEMPT_MS,
      })
    );
  }

  #tryTakeRetryBudget(purpose: RepeatPurpose): boolean {
    const service = this.#attempt?.service ?? '';
    return this.#dependencies.getRepeatBudget(service).tryRepeat(purpose, performance.now());
  }

  /**
   * Resolves route and key again, as the configuration may have changed while the request waited.
   */
  #refreshRoute(): RefusalReason | undefined {
    const { table } = this.#dependencies.configuration;
    const { host, target, options } = this.#request;
    if (table === undefined) {
      return 'notReady';
    }
    const resolution = resolveRequest(table, { host, target, teamKey: options.teamKey });
    if (isRefused(resolution)) {
      return resolution;
    }
    this.#resolved = resolution;
    return undefined;
  }

  #pickService(): string {
    return pickTarget(this.#resolved.route.targets, this.#dependencies.random.next());
  }

  /** The hold on this request; undefined while it may be sent. */
  get #hold(): Hold | undefined {
    const { crashes } = this.#dependencies;
    return crashes.isEmpty ? undefined : crashes.findFirstHold(this.#suspects);
  }

  get #suspects(): readonly RequestDigest[] {
    return [this.digest, ...this.partDigests];
  }

  /**
   * Reports a success, which clears the request of suspicion. A failure status does not: an
   * upstream may return one before it has started the request. Nor does the rest of an answer clear the
   * parts of the prompt: it may be too short for the upstream to exit before its end.
   */
  #reportSuccess(): void {
    if (isSuccess(this.#status ?? 0)) {
      const isRest =
        this.#attempt?.isResumed === true || this.#request.options.lastEventId !== undefined;
      const suspects = isRest ? [this.digest] : this.#suspects;
      // An answer without a body began no later than now, but it is not known when.
      const beganAtMs = this.#attempt?.beganAtMs ?? this.#attempt?.sentAtMs ?? -Infinity;
      this.#dependencies.crashes.recordSuccess({ suspects, beganAtMs });
    }
  }

  #resend(): void {
    const refused = this.#hold === undefined ? this.#refreshRoute() : 'held';
    if (refused === undefined) {
      this.#send(this.#pickService());
    } else {
      this.#concludeFailure(refused);
    }
  }

  #send(service: string): void {
    const query = this.#createQuery(service);
    const placement = findPlacement(this.#dependencies, query);
    if (placement === undefined) {
      this.#concludeUnplaced(query);
    } else if (this.#dependencies.places.isNeeded(placement.entry)) {
      void this.#sendWithPlace(query, placement);
    } else {
      this.#startAttempt(query, placement);
    }
  }

  /** The wait for a place is short, but what allowed the placement may have changed meanwhile. */
  async #sendWithPlace(query: PlacementQuery, placement: RequestPlacement): Promise<void> {
    const { entry } = placement;
    const place = await this.#dependencies.places.borrow(entry);
    if (this.#isFinished || this.#hold !== undefined) {
      place?.release('unused');
      this.#concludeFailure('held');
      return;
    }
    if (place !== undefined && isStillOpen(this.#dependencies, query, entry)) {
      this.#startAttempt(query, placement, place);
      return;
    }
    place?.release('unused');
    this.#fullUpstreams.add(entry.lifeId);
    this.#send(query.service);
  }

  #startAttempt(query: PlacementQuery, placement: RequestPlacement, place?: Place): void {
    const { route, team } = this.#resolved;
    const { service } = query;
    const suspect = this.#mainSuspect;
    this.#recordDemand(service, placement);
    this.#usedUpstreams.add(placement.entry.lifeId);
    this.#countedAttempts += 1;
    this.#attempt = new Attempt(this.#dependencies, this.#request, this, {
      ...placement,
      service,
      route,
      model: this.#model,
      teamName: team?.name,
      teamPriority: team?.priority,
      lastEventId: this.#relay.lastEventId,
      remainingMs: this.#getRemainingMs(),
      isResumed: this.#relay.hasBegun,
      place,
      usedConnections: this.#usedConnections,
    });
    this.#log('sent', {
      ...describePlacement(this.#dependencies, placement, query),
      attempt: this.#countedAttempts,
      ...(suspect === undefined ? {} : { blame: suspect.weight, digest: suspect.digest }),
    });
    this.#fullUpstreams.clear();
    this.#attempt.start();
  }

  /** What of this request is suspected most of making upstreams exit, if anything is. */
  get #mainSuspect(): MainSuspect | undefined {
    const { crashes } = this.#dependencies;
    return crashes.isEmpty ? undefined : crashes.findMainSuspect(this.#suspects);
  }

  #createQuery(service: string): PlacementQuery {
    return {
      service,
      route: this.#resolved.route,
      options: this.#request.options,
      model: this.#model,
      usedUpstreams: this.#usedUpstreams,
      fullUpstreams: this.#fullUpstreams,
      suspectDigest: this.#mainSuspect?.digest,
    };
  }

  #concludeUnplaced(query: PlacementQuery): void {
    const expiryWaitMs = findSessionExpiryWait(this.#dependencies, query);
    if (expiryWaitMs !== undefined) {
      this.#concludeHeldOff({ reason: 'versionEvacuated', waitMs: expiryWaitMs });
      return;
    }
    const holdOff = findHoldOff(this.#dependencies, query);
    const isFull = this.#fullUpstreams.size > 0 || holdOff?.reason === 'upstreamsFull';
    if (isFull && this.#mayHaveRun && this.#waitsForPlace < MAX_WAITS_FOR_PLACE) {
      this.#waitForPlace();
      return;
    }
    if (isFull && (holdOff?.waitMs ?? 0) < FULL_RETRY_MS) {
      this.#concludeHeldOff({ reason: 'upstreamsFull', waitMs: FULL_RETRY_MS });
    } else if (holdOff === undefined) {
      this.#concludeFailure('noUpstream');
    } else {
      this.#concludeHeldOff(holdOff);
    }
  }

  #concludeHeldOff({ reason, waitMs }: HoldOff | SessionHoldOff): void {
    const spread = (waitSpread[reason] ?? 0) * this.#dependencies.random.next();
    const waitS = (waitMs * (1 + spread)) / MS_PER_S;
    this.#concludeFailure(reason, Math.max(MIN_RETRY_AFTER_S, waitS));
  }

  /** A request that may have run can't be sent back with a time at which to come again. */
  #waitForPlace(): void {
    this.#waitsForPlace += 1;
    this.#fullUpstreams.clear();
    setTimeout(() => {
      if (!this.#isFinished) {
        this.#resend();
      }
    }, PLACE_WAIT_MS);
  }

  #recordDemand(service: string, { startWork, runWork }: RequestPlacement): void {
    if (this.#model !== undefined) {
      this.#dependencies.getModelDemand(service).recordWork(this.#model, startWork + runWork);
    }
  }

  #getRemainingMs(): number {
    return this.#deadlineAtMs - performance.now();
  }

  #onDeadline(): void {
    this.#concludeFailure(
      this.#mayHaveRun || this.#countedAttempts > 0 ? 'deadline' : 'deadlineNotRun',
    );
  }

  /**
   * Ends the run without a complete upstream response; a request that may have run is never
   * reported as not run.
   */
  #concludeFailure(reason: RefusalReason, knownAfterS?: number): void {
    if (this.#isFinished) {
      return;
    }
    if (this.#emptyHead !== undefined) {
      this.#concludeEmpty(this.#emptyHead, reason);
      return;
    }
    const finalReason = this.#mayHaveRun ? toReasonAfterRun(reason) : reason;
    const hold = reason === 'held' ? this.#hold : undefined;
    const afterS = finalReason === reason ? knownAfterS : undefined;
    this.#log('refused', {
      reason: finalReason,
      attempts: this.#countedAttempts,
      begun: this.#relay.hasBegun,
      afterS,
      ...(hold === undefined ? {} : { digest: hold.digest, ended: hold.lives }),
      ...this.#describeEnd(),
    });
    if (this.#relay.hasBegun) {
      this.#port.abort();
    } else {
      this.#port.refuse(
        buildRefusal(finalReason, hold === undefined ? afterS : getSecondsLeft(hold)),
      );
    }
    this.#finish(finalReason);
  }

  /** The response that brought nothing was whole, and asking once more has failed for this reason. */
  #concludeEmpty(head: ResponseHead, reason: RefusalReason): void {
    this.#relay.begin(head);
    this.#relay.finish();
    this.#log('answered', {
      status: head.status,
      attempts: this.#countedAttempts,
      notConfirmed: reason,
      ...this.#describeEnd(),
    });
    this.#finish('answered');
  }

  #finish(outcome: string): void {
    this.#isFinished = true;
    clearTimeout(this.#deadlineTimer);
    this.#attempt?.abort();
    this.#relay.discardPending();
    const tookMs = performance.now() - this.#request.arrivedAtMs;
    this.#dependencies.metrics.countRequest(this.#resolved.route.kind, outcome, tookMs);
  }

  /** Log fields: what marks the end of the response, and what the caller has of it. */
  #describeEnd() {
    const framing = this.#attempt?.framing;
    const beside = framing === undefined ? [] : (this.#attempt?.listEndsBeside() ?? []);
    return {
      framing,
      endEvidence: this.#attempt?.endEvidence,
      events: this.#relay.eventCount,
      lastEventId: this.#relay.lastEventId,
      ...(beside.length === 0 ? {} : { endedBeside: describeEnds(beside) }),
    };
  }

  #log(event: string, fields: Readonly<Record<string, unknown>>): void {
    this.#dependencies.logger.info({
      event,
      request: shortenName(this.#request.options.attemptId),
      route: this.#resolved.route.name,
      atMs: Math.round(performance.now() - this.#request.arrivedAtMs),
      ...fields,
    });
  }
}

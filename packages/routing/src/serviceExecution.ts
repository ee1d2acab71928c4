/** Executes one call of a service that is not a model, from admission to its answer. */
import { isPromiseKept, type UpstreamId } from '@snipehaven/common';
import type { Claim, StoredAnswer } from '@snipehaven/claims';
import { decideRetry } from '@snipehaven/policy';
import type { UsageStream } from '@snipehaven/protocol';
import type { Resource, ServiceSpec } from '@snipehaven/resources';
import {
  UpstreamFailedError,
  UpstreamNotStartedError,
  UpstreamSilentError,
  type ServiceAnswer,
} from '@snipehaven/upstream';
import { admit, type Admission } from './admission.js';
import { getBillingKey, storeAnswer, acquireClaim } from './requestClaims.js';
import { finalizeRefused } from './finalizeRefused.js';
import { LEAVING_GRACE_MS, REPLAYED_HEADER, REQUEST_ID_HEADER } from './constants.js';
import type { RoutingDependencies } from './dependencies.js';
import { hashRequest } from './hashRequest.js';
import { Refusal } from './refusal.js';
import { RequestSignal } from './requestSignal.js';
import { RunTracker, type Dispatch } from './runTracker.js';
import type { SharedRetryBudget } from './stepRunner.js';
import type { AnswerHeaders, AnswerSink, ServiceRequest } from './types.js';
import type { UpstreamEntry } from './upstreamEntry.js';
import { UsageAccount } from './usageAccount.js';

type Operation = ServiceSpec['operations'][number];

const EXPECTED_CALL_MS = 20;
const TEXT_CONTENT_TYPES = /^(text\/|application\/json)/;

const toStoredAnswer = (answer: ServiceAnswer): StoredAnswer => {
  const isText = TEXT_CONTENT_TYPES.test(answer.contentType);
  return {
    status: answer.status,
    contentType: answer.contentType,
    body: Buffer.from(answer.body).toString(isText ? 'utf8' : 'base64'),
    encoding: isText ? 'utf8' : 'base64',
  };
};

export class ServiceExecution {
  readonly #deps: RoutingDependencies;

  readonly #request: ServiceRequest;

  readonly #sink: AnswerSink;

  readonly #retries: SharedRetryBudget;

  readonly #tracker = new RunTracker();

  readonly #signal: RequestSignal;

  readonly #account: UsageAccount;

  readonly #startedAtMs = Date.now();

  #claim: Claim | undefined;

  #attempts = 0;

  constructor(
    deps: RoutingDependencies,
    request: ServiceRequest,
    sink: AnswerSink,
    retries: SharedRetryBudget,
  ) {
    this.#deps = deps;
    this.#request = request;
    this.#sink = sink;
    this.#retries = retries;
    this.#signal = new RequestSignal(request.options.deadlineAtMs, sink.callerGone);
    const { team } = request.identity;
    this.#account = new UsageAccount(deps.ledger, {
      requestId: request.requestId,
      requestKey: getBillingKey(request.requestId, request.options.idempotencyKey, () =>
        this.#hashBody(),
      ),
      team: team.metadata.name,
      teamUid: team.metadata.uid,
    });
  }

  /** Answers or refuses the request; never throws. */
  async execute(): Promise<void> {
    let admission: Admission | undefined;
    try {
      const service = this.#getService();
      const operation = this.#getOperation(service);
      const isIdempotent = operation.isIdempotent && this.#request.options.isIdempotent;
      if (!isIdempotent && (await this.#claimOrReplay())) {
        return;
      }
      admission = await this.#admit(service);
      await this.#answer(service, isIdempotent);
    } catch (error) {
      this.#refuse(error);
    } finally {
      admission?.release(this.#account.costMicroUsd);
      this.#signal.dispose();
    }
  }

  get #key(): string {
    return this.#request.options.idempotencyKey ?? this.#request.requestId;
  }

  #hashBody(): string {
    const { service, method, path, body } = this.#request;
    return hashRequest(`${service} ${method} ${path}`, body);
  }

  #getService(): Resource<'Service'> {
    const { service: name, identity } = this.#request;
    const service = this.#deps.configuration.getView().get('Service', name);
    if (service === undefined) {
      throw new Refusal('unknownPath', `service ${name} does not exist`, this.#tracker);
    }
    if (!identity.team.spec.allowedServices.includes(name)) {
      const message = `team ${identity.team.metadata.name} may not call ${name}`;
      throw new Refusal('forbidden', message, this.#tracker);
    }
    return service;
  }

  #getOperation(service: Resource<'Service'>): Operation {
    const { method, path } = this.#request;
    const operation = service.spec.operations.find(
      (entry) => entry.method === method && path.startsWith(entry.pathPrefix),
    );
    if (operation === undefined) {
      throw new Refusal(
        'unknownPath',
        `${method} ${path} is not an operation of the service`,
        this.#tracker,
      );
    }
    return operation;
  }

  async #claimOrReplay(): Promise<boolean> {
    const { identity, options } = this.#request;
    const outcome = await acquireClaim(this.#deps, this.#tracker, {
      teamUid: identity.team.metadata.uid,
      key: this.#key,
      bodyHash: this.#hashBody(),
      deadlineAtMs: options.deadlineAtMs,
    });
    if (outcome.kind === 'finished') {
      const { answer } = outcome;
      const bytes = Buffer.from(answer.body, answer.encoding);
      const headers = { ...this.#getHeaders(), [REPLAYED_HEADER]: 'true' };
      this.#sink.send(answer.status, answer.contentType, bytes, headers);
      return true;
    }
    this.#claim = outcome.claim;
    this.#signal.detachCaller();
    return false;
  }

  #admit(service: Resource<'Service'>): Promise<Admission> {
    return admit(this.#deps, this.#tracker, this.#signal, {
      requestId: this.#request.requestId,
      team: this.#request.identity.team,
      options: this.#request.options,
      expectedCostMicroUsd: service.spec.costMicroUsdPerCall,
    });
  }

  async #answer(service: Resource<'Service'>, isIdempotent: boolean): Promise<void> {
    const excludedIds: UpstreamId[] = [];
    for (;;) {
      const entry = await this.#choose(service, excludedIds);
      excludedIds.push(entry.id);
      const stream = this.#createStream(service, entry);
      await this.#account.recordRun(stream);
      const dispatch = this.#tracker.startDispatch();
      entry.recordSent(Date.now());
      try {
        const answer = await this.#call(service, entry);
        dispatch.markRunning();
        await this.#complete(answer, stream, service, entry);
        return;
      } catch (error) {
        this.#retryOrThrow(error, dispatch, entry, service, isIdempotent, excludedIds);
      } finally {
        entry.recordEnded();
      }
    }
  }

  async #choose(
    service: Resource<'Service'>,
    excludedIds: readonly UpstreamId[],
  ): Promise<UpstreamEntry> {
    const { name } = service.metadata;
    const chosen = await this.#deps.registry.chooseFresh({ service: name, excludedIds });
    if (chosen === undefined) {
      throw new Refusal('noUpstream', `no upstream of ${name} has capacity`, this.#tracker);
    }
    const sinceMs = chosen.entry.leavingSinceMs;
    const isWithinGrace = sinceMs === undefined || Date.now() - sinceMs <= LEAVING_GRACE_MS;
    const detail = `${chosen.entry.id} has been leaving since ${sinceMs}`;
    if (!isPromiseKept(isWithinGrace, 'leavingGetsNoWork', detail)) {
      throw new Refusal('noUpstream', detail, this.#tracker);
    }
    return chosen.entry;
  }

  #createStream(service: Resource<'Service'>, entry: UpstreamEntry): UsageStream {
    this.#attempts += 1;
    return {
      streamId: `${this.#request.requestId}.${this.#attempts}`,
      upstream: entry.id,
      upstreamUrl: entry.spec.url,
      version: `service:${service.metadata.name}`,
      inputMicroUsdPerMillionTokens: 0,
      outputMicroUsdPerMillionTokens: service.spec.costMicroUsdPerCall * 1_000_000,
    };
  }

  #call(service: Resource<'Service'>, entry: UpstreamEntry): Promise<ServiceAnswer> {
    const { method, path, contentType, body, requestId, options } = this.#request;
    const { timeline } = this.#deps;
    timeline.record('attemptStarted', { requestId, upstream: entry.id });
    return this.#deps.services.call(
      {
        url: entry.spec.url,
        method,
        path,
        requestKey: options.idempotencyKey ?? requestId,
        timeoutMs: service.spec.timeoutMs,
        ...(contentType === undefined ? {} : { contentType }),
        ...(body.byteLength === 0 ? {} : { body }),
      },
      this.#signal.signal,
    );
  }

  /** A call is billed as one completion token at the service's price per call. */
  async #complete(
    answer: ServiceAnswer,
    stream: UsageStream,
    service: Resource<'Service'>,
    entry: UpstreamEntry,
  ): Promise<void> {
    this.#deps.registry.recordOutcome(entry, 'succeeded');
    this.#account.addLine(stream, { promptTokens: 0, completionTokens: 1 });
    await this.#account.ensureReplicated();
    await this.#account.settle('answered');
    this.#sink.send(answer.status, answer.contentType, answer.body, this.#getHeaders());
    const { requestId } = this.#request;
    const subject = { requestId, upstream: entry.id };
    this.#deps.timeline.record('answerFinished', subject, { service: service.metadata.name });
    const totalMs = Date.now() - this.#startedAtMs;
    this.#deps.metrics.recordAnswer({
      team: this.#request.identity.team.metadata.name,
      version: stream.version,
      firstTokenMs: totalMs,
      totalMs,
      completionTokens: 0,
      costMicroUsd: this.#account.costMicroUsd,
    });
    if (this.#claim !== undefined) {
      storeAnswer(this.#deps, this.#claim, toStoredAnswer(answer));
    }
  }

  #retryOrThrow(
    error: unknown,
    dispatch: Dispatch,
    entry: UpstreamEntry,
    service: Resource<'Service'>,
    isIdempotent: boolean,
    excludedIds: readonly UpstreamId[],
  ): void {
    if (error instanceof UpstreamNotStartedError) {
      dispatch.markNotRun(error);
    }
    this.#recordFailure(error, entry);
    this.#throwIfFinal(error);
    const other = this.#deps.registry.choose({ service: service.metadata.name, excludedIds });
    const decision = decideRetry(
      {
        verdict: dispatch.state === 'provedNotRun' ? 'notRun' : 'unknown',
        isIdempotent,
        hasAnswerStarted: false,
        attempts: this.#attempts,
        budget: this.#retries.budget,
        remainingMs: this.#request.options.deadlineAtMs - Date.now(),
        expectedMs: EXPECTED_CALL_MS,
        retryAfterMs: 0,
        openTargets: other ? ['sameModel'] : [],
      },
      this.#deps.random,
    );
    this.#retries.set(decision.budget);
    if (decision.kind === 'giveUp') {
      const kind = this.#tracker.getVerdict() === 'notRun' ? 'noUpstream' : 'upstreamFailed';
      throw new Refusal(kind, `the call failed: ${decision.reason}`, this.#tracker, {
        cause: error,
      });
    }
  }

  #recordFailure(error: unknown, entry: UpstreamEntry): void {
    const { requestId } = this.#request;
    const detail = { error: error instanceof Error ? error.message : String(error) };
    this.#deps.timeline.record('attemptFailed', { requestId, upstream: entry.id }, detail);
    if (this.#signal.reason !== undefined) {
      return;
    }
    const isRefused = error instanceof UpstreamNotStartedError && error.cause === undefined;
    const isTimeout = error instanceof UpstreamSilentError;
    const failed = isTimeout ? 'timedOut' : 'failed';
    this.#deps.registry.recordOutcome(entry, isRefused ? 'refused' : failed);
  }

  #throwIfFinal(error: unknown): void {
    const { reason } = this.#signal;
    if (reason === 'callerGone') {
      throw new Refusal('callerGone', 'the caller has disconnected', this.#tracker, {
        cause: error,
      });
    }
    if (reason === 'deadline') {
      const message = 'the deadline has passed';
      throw new Refusal('deadlineExceeded', message, this.#tracker, { cause: error });
    }
    const isFinal = error instanceof UpstreamFailedError && error.status === 409;
    if (isFinal) {
      const message = 'the service refused the request key or its fencing token';
      throw new Refusal('outcomeUnknown', message, this.#tracker, { cause: error });
    }
  }

  #getHeaders(): AnswerHeaders {
    return { [REQUEST_ID_HEADER]: this.#request.requestId };
  }

  #refuse(error: unknown): void {
    const refusal =
      error instanceof Refusal
        ? error
        : new Refusal('upstreamFailed', 'internal error', this.#tracker, { cause: error });
    if (refusal !== error) {
      this.#deps.logger.error({ err: error }, 'service call failed');
    }
    const { requestId, identity } = this.#request;
    const team = identity.team.metadata.name;
    const detail = { code: refusal.code, verdict: refusal.verdict };
    this.#deps.timeline.record('requestRefused', { requestId, team }, detail);
    this.#deps.metrics.recordRefusal(team, refusal.code);
    this.#sink.refuse(refusal, this.#getHeaders());
    finalizeRefused(this.#deps, {
      refusal,
      tracker: this.#tracker,
      account: this.#account,
      claim: this.#claim,
    });
  }
}

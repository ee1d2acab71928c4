/** Runs one step of a plan: attempts at upstreams of one version until an answer is complete. */
import {
  asId,
  isPromiseKept,
  isRefusedConnection,
  type StreamId,
  type UpstreamId,
  type VersionId,
} from '@snipehaven/common';
import {
  decideRetry,
  feedRetryBudget,
  type OutcomeKind,
  type PlanStep,
  type RetryBudget,
} from '@snipehaven/policy';
import type { UsageStream } from '@snipehaven/protocol';
import type { ModelVersionSpec } from '@snipehaven/resources';
import {
  UpstreamAbortedError,
  UpstreamNotStartedError,
  UpstreamSilentError,
  type EngineEvent,
  type StreamState,
} from '@snipehaven/upstream';
import { AnswerAssembler } from './answerAssembler.js';
import { toEngineBody } from './chatBody.js';
import { LEAVING_GRACE_MS } from './constants.js';
import { digestChat, refuseHeld } from './crashes/index.js';
import type { RoutingDependencies } from './dependencies.js';
import { EngineAttempt } from './engineAttempt.js';
import { Refusal } from './refusal.js';
import type { RequestSignal } from './requestSignal.js';
import type { Dispatch, RunTracker } from './runTracker.js';
import type { ChatRequest } from './types.js';
import type { UpstreamEntry } from './upstreamEntry.js';
import type { UsageAccount } from './usageAccount.js';

/** Consumes the events of a complete or growing answer. */
export interface EventConsumer {
  /**
   * Called with each batch in order; the next batch is read after the returned promise resolves.
   */
  take(events: readonly EngineEvent[]): Promise<void> | undefined;
  /** Whether any part of the answer was sent to the caller. */
  readonly hasSentToCaller: boolean;
}

export interface StepContext {
  readonly request: ChatRequest;
  readonly promptText: string;
  readonly prefixKey: string;
  readonly sessionKey: string | undefined;
  readonly tracker: RunTracker;
  readonly signal: RequestSignal;
  readonly account: UsageAccount;
  /** Whether the text is needed after it was passed to the consumer. */
  readonly keepsText: boolean;
}

/** A complete answer of one version. */
export interface StepAnswer {
  readonly version: VersionId;
  readonly upstream: UpstreamId;
  readonly stream: UsageStream;
  /** Empty if the text was not kept. */
  readonly text: string;
  /** Judged by the text if it was kept, otherwise by the number of completion tokens. */
  readonly isEmpty: boolean;
  readonly finishReason: string | undefined;
  readonly usage: { readonly promptTokens: number; readonly completionTokens: number };
  readonly firstTokenMs: number;
  readonly totalMs: number;
}

/** No upstream of the version accepts the request now. */
export class NoUpstreamError extends Refusal {}

/**
 * The retry budget that all requests of a daemon share: retries are limited to a share of traffic.
 */
export class SharedRetryBudget {
  #budget: RetryBudget;

  constructor(budget: RetryBudget) {
    this.#budget = budget;
  }

  get budget(): RetryBudget {
    return this.#budget;
  }

  deposit(): void {
    this.#budget = feedRetryBudget(this.#budget);
  }

  set(budget: RetryBudget): void {
    this.#budget = budget;
  }
}

interface RunningAttempt {
  readonly entry: UpstreamEntry;
  readonly stream: UsageStream;
  readonly dispatch: Dispatch;
  readonly attempt: EngineAttempt;
  readonly assembler: AnswerAssembler;
  readonly startedAtMs: number;
  firstTokenMs: number | undefined;
}

const getOutcome = (error: unknown): OutcomeKind => {
  if (error instanceof UpstreamNotStartedError) {
    return error.cause === undefined ? 'refused' : 'unreachable';
  }
  return error instanceof UpstreamSilentError ? 'timedOut' : 'failed';
};

const EXPECTED_ATTEMPT_MS = 50;

export class StepRunner {
  readonly #deps: RoutingDependencies;

  readonly #context: StepContext;

  readonly #retries: SharedRetryBudget;

  #attempts = 0;

  constructor(deps: RoutingDependencies, context: StepContext, retries: SharedRetryBudget) {
    this.#deps = deps;
    this.#context = context;
    this.#retries = retries;
  }

  /**
   * Resolves with the complete answer; throws a refusal, which is a `NoUpstreamError` if nothing
   * ran.
   */
  async run(step: PlanStep, consumer: EventConsumer): Promise<StepAnswer> {
    const excludedIds: UpstreamId[] = [];
    for (;;) {
      const running = await this.#start(step.version, excludedIds);
      excludedIds.push(running.entry.id);
      try {
        return await this.#read(running, consumer);
      } catch (error) {
        await this.#retryOrThrow(error, running, consumer, excludedIds, step.version);
      } finally {
        running.entry.recordEnded();
      }
    }
  }

  async #start(version: VersionId, excludedIds: readonly UpstreamId[]): Promise<RunningAttempt> {
    const entry = await this.#choose(version, excludedIds);
    const { request, tracker, account, signal } = this.#context;
    refuseHeld(this.#deps.crashes, request, tracker);
    this.#assertMayDispatch(version, entry);
    this.#attempts += 1;
    const stream = this.#createStream(version, entry);
    await account.recordRun(stream);
    const dispatch = tracker.startDispatch();
    const { requestId } = request;
    const { timeline, engines, settings } = this.#deps;
    timeline.record('attemptStarted', { requestId, version, upstream: entry.id });
    entry.recordSent(Date.now());
    const attempt = new EngineAttempt({
      engines,
      run: {
        url: entry.spec.url,
        streamId: stream.streamId,
        requestKey: request.options.idempotencyKey ?? requestId,
        body: toEngineBody(request.body, version),
        priority: request.options.priority,
        firstByteTimeoutMs: settings.firstByteTimeoutMs,
        betweenChunksTimeoutMs: settings.betweenChunksTimeoutMs,
      },
      upstream: entry.id,
      requestId,
      dispatch,
      signal: signal.signal,
      timeline,
    });
    const assembler = new AnswerAssembler(this.#context.keepsText);
    const startedAtMs = Date.now();
    return { entry, stream, dispatch, attempt, assembler, startedAtMs, firstTokenMs: undefined };
  }

  async #choose(version: VersionId, excludedIds: readonly UpstreamId[]): Promise<UpstreamEntry> {
    const { prefixKey, sessionKey, tracker } = this.#context;
    const chosen = await this.#deps.registry.chooseFresh({
      version,
      prefixKey,
      excludedIds,
      ...(sessionKey === undefined ? {} : { sessionKey }),
    });
    if (chosen === undefined) {
      throw new NoUpstreamError('noUpstream', `no upstream has capacity for ${version}`, tracker);
    }
    return chosen.entry;
  }

  /** Checks the invariants for new work immediately before it is dispatched. */
  #assertMayDispatch(version: VersionId, entry: UpstreamEntry): void {
    const { safeMoves } = this.#deps;
    const sinceMs = entry.leavingSinceMs;
    const isWithinGrace = sinceMs === undefined || Date.now() - sinceMs <= LEAVING_GRACE_MS;
    const detail = `${entry.id} has been leaving since ${sinceMs}`;
    if (!isPromiseKept(isWithinGrace, 'leavingGetsNoWork', detail)) {
      throw new NoUpstreamError('noUpstream', detail, this.#context.tracker);
    }
    if (safeMoves.isVersionBlocked(version)) {
      const message = `${version} was withdrawn while the request was queued`;
      throw new NoUpstreamError('noUpstream', message, this.#context.tracker);
    }
  }

  #createStream(version: VersionId, entry: UpstreamEntry): UsageStream {
    const prices = this.#getPrices(version);
    return {
      streamId: asId<StreamId>(`${this.#context.request.requestId}.${version}.${this.#attempts}`),
      upstream: entry.id,
      upstreamUrl: entry.spec.url,
      version,
      inputMicroUsdPerMillionTokens: prices?.inputMicroUsdPerMillionTokens ?? 0,
      outputMicroUsdPerMillionTokens: prices?.outputMicroUsdPerMillionTokens ?? 0,
    };
  }

  #getPrices(version: VersionId): ModelVersionSpec | undefined {
    return this.#deps.configuration.getView().get('ModelVersion', version)?.spec;
  }

  async #read(running: RunningAttempt, consumer: EventConsumer): Promise<StepAnswer> {
    const { account } = this.#context;
    const current = running;
    for await (const events of running.attempt.events()) {
      current.firstTokenMs ??= Date.now() - running.startedAtMs;
      events.forEach((event) => running.assembler.add(event.data));
      await account.ensureReplicated();
      await consumer.take(events);
    }
    return this.#completeAnswer(running);
  }

  #completeAnswer(running: RunningAttempt): StepAnswer {
    const { entry, stream, assembler, startedAtMs } = running;
    const totalMs = Date.now() - startedAtMs;
    const firstTokenMs = running.firstTokenMs ?? totalMs;
    const usage = assembler.usage ?? { promptTokens: 0, completionTokens: 0 };
    this.#deps.registry.recordOutcome(entry, 'succeeded');
    this.#recordSuccess();
    entry.recordFirstToken(firstTokenMs);
    this.#deps.latency.record(stream.version, firstTokenMs, totalMs, usage.completionTokens);
    this.#context.account.addLine(stream, usage);
    return {
      version: asId<VersionId>(stream.version),
      upstream: entry.id,
      stream,
      text: assembler.text,
      isEmpty: this.#context.keepsText ? assembler.text === '' : usage.completionTokens === 0,
      finishReason: assembler.finishReason,
      usage,
      firstTokenMs,
      totalMs,
    };
  }

  /** Returns if another attempt may be made; otherwise throws the final refusal. */
  async #retryOrThrow(
    error: unknown,
    running: RunningAttempt,
    consumer: EventConsumer,
    excludedIds: readonly UpstreamId[],
    version: VersionId,
  ): Promise<void> {
    const { request, tracker, signal } = this.#context;
    this.#recordFailure(error, running);
    if (running.dispatch.state !== 'provedNotRun') {
      const hasEngineCrashed = await this.#cancelRun(running, consumer);
      if (hasEngineCrashed && signal.reason === undefined) {
        this.#recordCrash(running);
      }
    }
    if (signal.reason !== undefined || error instanceof UpstreamAbortedError) {
      throw this.#createAbortRefusal();
    }
    const other = this.#deps.registry.choose({ version, excludedIds });
    const decision = decideRetry(
      {
        verdict: running.dispatch.state === 'provedNotRun' ? 'notRun' : 'unknown',
        isIdempotent: request.options.isIdempotent,
        hasAnswerStarted: consumer.hasSentToCaller,
        attempts: this.#attempts,
        budget: this.#retries.budget,
        remainingMs: request.options.deadlineAtMs - Date.now(),
        expectedMs: EXPECTED_ATTEMPT_MS,
        retryAfterMs: 0,
        openTargets: other ? ['sameModel'] : [],
      },
      this.#deps.random,
    );
    this.#retries.set(decision.budget);
    if (decision.kind === 'retry') {
      return;
    }
    if (tracker.getVerdict() === 'notRun') {
      throw new NoUpstreamError(
        'noUpstream',
        `no upstream accepted the request for ${version}`,
        tracker,
        {
          cause: error,
        },
      );
    }
    const message = `the answer of ${version} could not be completed: ${decision.reason}`;
    throw new Refusal('upstreamFailed', message, tracker, { cause: error });
  }

  #createAbortRefusal(): Refusal {
    const { tracker, signal } = this.#context;
    return signal.reason === 'callerGone'
      ? new Refusal('callerGone', 'the caller has disconnected', tracker)
      : new Refusal('deadlineExceeded', 'the deadline has passed', tracker);
  }

  #recordFailure(error: unknown, running: RunningAttempt): void {
    const { requestId } = this.#context.request;
    const { entry, stream } = running;
    const isAborted = error instanceof UpstreamAbortedError || this.#context.signal.reason;
    if (!isAborted) {
      this.#deps.registry.recordOutcome(entry, getOutcome(error));
    }
    const detail = { error: error instanceof Error ? error.message : String(error) };
    const subject = { requestId, version: stream.version, upstream: entry.id };
    this.#deps.timeline.record('attemptFailed', subject, detail);
  }

  #recordSuccess(): void {
    const { crashes } = this.#deps;
    if (!crashes.isEmpty) {
      crashes.recordSuccess(digestChat(this.#context.request));
    }
  }

  #recordCrash({ entry, startedAtMs, firstTokenMs }: RunningAttempt): void {
    const answerStartedAtMs = firstTokenMs === undefined ? undefined : startedAtMs + firstTokenMs;
    const { requestId } = this.#context.request;
    this.#deps.crashes.recordCrash({
      digest: digestChat(this.#context.request),
      requestId,
      upstream: entry.id,
      answeredForMs: answerStartedAtMs === undefined ? undefined : Date.now() - answerStartedAtMs,
      isEndExpected: entry.leavingSinceMs !== undefined,
    });
    this.#deps.timeline.record('engineEnded', { requestId, upstream: entry.id });
  }

  /**
   * Cancels a run whose answer is no longer awaited and bills the part that the caller received.
   * Returns true if the engine process has ended: its machine then refuses the connection, since no
   * process listens on the port.
   */
  async #cancelRun(running: RunningAttempt, consumer: EventConsumer): Promise<boolean> {
    const { stream, entry, attempt } = running;
    let state: StreamState | undefined;
    try {
      state = await this.#deps.engines.cancel(entry.spec.url, stream.streamId);
    } catch (error) {
      return error instanceof Error && isRefusedConnection(error.cause);
    }
    if (!consumer.hasSentToCaller || state === undefined) {
      return false;
    }
    const deliveredShare = state.chunks === 0 ? 0 : Math.min(1, attempt.lastOffset / state.chunks);
    this.#context.account.addLine(stream, {
      promptTokens: state.promptTokens,
      completionTokens: Math.round(state.completionTokens * deliveredShare),
    });
    return false;
  }
}

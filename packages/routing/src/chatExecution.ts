/** Executes one chat request, from admission to the end of its answer. */
import { createHash } from 'node:crypto';
import { isPromiseKept, type VersionId } from '@snipehaven/common';
import type { Claim } from '@snipehaven/claims';
import type { PlanStep } from '@snipehaven/policy';
import type { EvidenceSubject } from '@snipehaven/rollouts';
import { toCompletionBody } from './answerAssembler.js';
import { includesUsage, deliverAnswer, replayAnswer, toCompletionFields } from './answerWriter.js';
import { getPromptText } from './chatBody.js';
import {
  PLAN_HEADER,
  PREFIX_CHARS,
  PREFIX_DIGEST_CHARS,
  REQUEST_ID_HEADER,
  SESSION_HEADER,
  SESSION_MOVED_HEADER,
  VERSION_HEADER,
} from './constants.js';
import { finalizeRefused } from './finalizeRefused.js';
import { refuseHeld } from './crashes/index.js';
import { createPin } from './createPin.js';
import type { RoutingDependencies } from './dependencies.js';
import { getBillingKey, storeAnswer, acquireClaim } from './requestClaims.js';
import { BufferedConsumer, StreamingConsumer } from './eventConsumers.js';
import { admit, type Admission } from './admission.js';
import { hashRequest } from './hashRequest.js';
import { createNoPlanRefusal } from './noPlanRefusal.js';
import { planChat, type ChatPlan, type PlannedPair } from './planChat.js';
import { Refusal } from './refusal.js';
import { RequestSignal } from './requestSignal.js';
import { RunTracker } from './runTracker.js';
import { resolveSession, type SessionState } from './sessionResolver.js';
import type { ShadowRunner } from './shadowRunner.js';
import { isVersionAllowed } from './teamDirectory.js';
import {
  NoUpstreamError,
  StepRunner,
  type SharedRetryBudget,
  type StepAnswer,
  type StepContext,
} from './stepRunner.js';
import type { AnswerHeaders, AnswerSink, ChatRequest } from './types.js';
import { UsageAccount } from './usageAccount.js';

const getPrefixKey = (promptText: string): string =>
  createHash('sha256')
    .update(promptText.slice(0, PREFIX_CHARS))
    .digest('hex')
    .slice(0, PREFIX_DIGEST_CHARS);

const MAX_REPLANS = 4;

export class ChatExecution {
  readonly #deps: RoutingDependencies;

  readonly #request: ChatRequest;

  readonly #sink: AnswerSink;

  readonly #retries: SharedRetryBudget;

  readonly #shadows: ShadowRunner;

  readonly #tracker = new RunTracker();

  readonly #signal: RequestSignal;

  readonly #account: UsageAccount;

  readonly #promptText: string;

  readonly #startedAtMs = Date.now();

  #claim: Claim | undefined;

  /**
   * The stable version's answer, for rating against the candidate's; set even if it was not sent.
   */
  #stableAnswerText: string | undefined;

  constructor(
    deps: RoutingDependencies,
    request: ChatRequest,
    sink: AnswerSink,
    retries: SharedRetryBudget,
    shadows: ShadowRunner,
  ) {
    this.#deps = deps;
    this.#request = request;
    this.#sink = sink;
    this.#retries = retries;
    this.#shadows = shadows;
    this.#signal = new RequestSignal(request.options.deadlineAtMs, sink.callerGone);
    this.#promptText = getPromptText(request.body);
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
      refuseHeld(this.#deps.crashes, this.#request, this.#tracker);
      if (await this.#claimOrReplay()) {
        return;
      }
      const session = await resolveSession(this.#request, this.#deps);
      const plan = this.#plan(session, []);
      admission = await this.#admit(plan);
      await this.#answer(session, plan);
    } catch (error) {
      this.#refuse(error);
    } finally {
      this.#deps.assigner.release?.(this.#request.requestId);
      admission?.release(this.#account.costMicroUsd);
      this.#signal.dispose();
    }
  }

  /**
   * Acquires the claim of a request that must run only once; true if a stored answer was replayed.
   */
  async #claimOrReplay(): Promise<boolean> {
    const { options, identity, requestId } = this.#request;
    if (options.isIdempotent) {
      return false;
    }
    const outcome = await acquireClaim(this.#deps, this.#tracker, {
      teamUid: identity.team.metadata.uid,
      key: options.idempotencyKey ?? requestId,
      bodyHash: this.#hashBody(),
      deadlineAtMs: options.deadlineAtMs,
    });
    if (outcome.kind === 'finished') {
      await replayAnswer(this.#sink, this.#request, outcome.answer, this.#getBaseHeaders());
      return true;
    }
    this.#claim = outcome.claim;
    // The answer is stored for a retry, so the run continues without the caller.
    this.#signal.detachCaller();
    return false;
  }

  /** Called only for requests with an idempotency key or a claim, as it hashes the whole body. */
  #hashBody(): string {
    return hashRequest('chat', JSON.stringify(this.#request.body));
  }

  #admit(plan: ChatPlan): Promise<Admission> {
    return admit(this.#deps, this.#tracker, this.#signal, {
      requestId: this.#request.requestId,
      team: this.#request.identity.team,
      options: this.#request.options,
      expectedCostMicroUsd: plan.expectedCostMicroUsd,
    });
  }

  #plan(session: SessionState, excluded: readonly VersionId[]): ChatPlan {
    const plan = planChat(
      { request: this.#request, session, promptText: this.#promptText, excluded },
      this.#deps,
    );
    if (plan.steps.length === 0) {
      const input = { request: this.#request, session, excluded, tracker: this.#tracker };
      throw createNoPlanRefusal(input, this.#deps);
    }
    return plan;
  }

  /**
   * Moves on to the next version that meets the quality target while nothing has run and the chosen
   * version has no upstream with capacity.
   */
  async #answer(session: SessionState, firstPlan: ChatPlan): Promise<void> {
    const excluded: VersionId[] = [];
    for (let tries = 0; ; tries += 1) {
      const plan = tries === 0 ? firstPlan : this.#plan(session, excluded);
      try {
        await this.#runPlan(plan, session);
        return;
      } catch (error) {
        const first = plan.steps[0]?.version;
        const canTryAnotherVersion =
          error instanceof NoUpstreamError &&
          error.verdict === 'notRun' &&
          session.kind !== 'pinned';
        if (!canTryAnotherVersion || first === undefined || tries >= MAX_REPLANS) {
          throw error;
        }
        excluded.push(first);
      }
    }
  }

  async #runPlan(plan: ChatPlan, session: SessionState): Promise<void> {
    const { requestId, identity } = this.#request;
    const versions = plan.steps.map((step) => step.version).join(' > ');
    const team = identity.team.metadata.name;
    this.#deps.timeline.record(
      'requestPlanned',
      { requestId, team },
      { versions, reason: plan.reason },
    );
    const effectivePlan = await this.#pinBeforeRun(session, plan);
    for (const [index, step] of effectivePlan.steps.entries()) {
      const isLast = index === effectivePlan.steps.length - 1;
      const answer = await this.#runStep(step, index, isLast, effectivePlan, session);
      if (answer !== undefined) {
        this.#finish(answer, effectivePlan, index);
        return;
      }
    }
  }

  /**
   * Two concurrent first requests of a session identified only by the caller's own id could be
   * answered by different versions. The pin is therefore stored before the run; the earlier pin
   * wins.
   */
  async #pinBeforeRun(session: SessionState, plan: ChatPlan): Promise<ChatPlan> {
    const { callerSession } = this.#request.options;
    const version = plan.steps[0]?.version;
    if (callerSession === undefined || session.kind === 'pinned' || version === undefined) {
      return plan;
    }
    const requestedPin = createPin(this.#request, session, version);
    const pin = await this.#deps.pins.pin(requestedPin);
    if (pin.version === version) {
      return plan;
    }
    const pinned: SessionState = { kind: 'pinned', pin };
    return this.#plan(pinned, []);
  }

  /** Returns undefined if the answer was rated too low and the next step must answer. */
  async #runStep(
    step: PlanStep,
    index: number,
    isLast: boolean,
    plan: ChatPlan,
    session: SessionState,
  ): Promise<StepAnswer | undefined> {
    this.#assertAllowed(step.version, session);
    const isRatedFirst = step.acceptAboveScore !== undefined && !isLast;
    const isStreamed = this.#request.body.stream === true && !isRatedFirst;
    const isPaired = index === 0 && plan.pair !== undefined;
    const needsText = plan.shouldRateAfterRelease || isPaired || this.#claim !== undefined;
    const keepsText = !isStreamed || needsText;
    const headers = this.#getHeaders(step.version, plan, session);
    const consumer = isStreamed
      ? new StreamingConsumer(this.#sink, headers, includesUsage(this.#request))
      : new BufferedConsumer();
    const runner = new StepRunner(
      this.#deps,
      this.#createContext(session, keepsText),
      this.#retries,
    );
    const subject = this.#getSubject(step.version, index > 0);
    const answer = await this.#runAndRecordOutcome(runner, step, consumer, subject);
    if (isPaired) {
      this.#stableAnswerText = answer.text;
    }
    if (isRatedFirst && !(await this.#isAccepted(answer, step, subject))) {
      this.#recordEscalation(answer);
      return undefined;
    }
    await this.#settle();
    await deliverAnswer(this.#sink, this.#request, answer, consumer, headers);
    return answer;
  }

  #createContext(session: SessionState, keepsText: boolean): StepContext {
    const sessionKey =
      session.kind === 'new' ? this.#request.options.callerSession : session.pin.session;
    return {
      request: this.#request,
      promptText: this.#promptText,
      prefixKey: getPrefixKey(this.#promptText),
      sessionKey,
      tracker: this.#tracker,
      signal: this.#signal,
      account: this.#account,
      keepsText,
    };
  }

  async #runAndRecordOutcome(
    runner: StepRunner,
    step: PlanStep,
    consumer: StreamingConsumer | BufferedConsumer,
    subject: EvidenceSubject,
  ): Promise<StepAnswer> {
    const startedAtMs = Date.now();
    try {
      const answer = await runner.run(step, consumer);
      const end = answer.isEmpty ? 'empty' : 'complete';
      this.#deps.evidence.recordEnding(subject, {
        end,
        firstTokenMs: answer.firstTokenMs,
        totalMs: answer.totalMs,
      });
      return answer;
    } catch (error) {
      const hasRun = error instanceof Refusal && error.code === 'upstreamFailed';
      if (hasRun) {
        const totalMs = Date.now() - startedAtMs;
        const end = consumer.hasSentToCaller ? 'cut' : 'error';
        this.#deps.evidence.recordEnding(subject, { end, firstTokenMs: totalMs, totalMs });
      }
      throw error;
    }
  }

  #getSubject(version: VersionId, isEscalated: boolean): EvidenceSubject {
    const team = this.#request.identity.team.metadata.name;
    return { team, task: this.#request.options.task, version, isEscalated };
  }

  #assertAllowed(version: VersionId, session: SessionState): void {
    const detail = `${this.#request.requestId} was planned on ${version}`;
    const isAllowed = isVersionAllowed(this.#request.identity.team, version);
    const matchesPin = session.kind !== 'pinned' || session.pin.version === version;
    if (
      !isPromiseKept(isAllowed, 'allowedVersion', detail) ||
      !isPromiseKept(matchesPin, 'sessionKeepsVersion', detail)
    ) {
      throw new Refusal('noUpstream', detail, this.#tracker);
    }
  }

  /**
   * If no rating arrives in time, the more expensive version answers: an unrated answer is never
   * accepted in a cascade.
   */
  async #isAccepted(
    answer: StepAnswer,
    step: PlanStep,
    subject: EvidenceSubject,
  ): Promise<boolean> {
    try {
      const score = await this.#deps.evidence.rateNow(
        subject,
        { requestId: this.#request.requestId, prompt: this.#promptText, answer: answer.text },
        this.#deps.settings.ratingTimeoutMs,
      );
      this.#deps.evidence.recordScore(subject, score);
      return score > (step.acceptAboveScore ?? 0);
    } catch {
      return false;
    }
  }

  #recordEscalation(answer: StepAnswer): void {
    const { requestId } = this.#request;
    this.#deps.timeline.record('attemptEscalated', { requestId, version: answer.version });
  }

  async #settle(): Promise<void> {
    await this.#account.ensureReplicated();
    await this.#account.settle('answered');
  }

  #finish(answer: StepAnswer, plan: ChatPlan, stepIndex: number): void {
    const { requestId } = this.#request;
    const subject = { requestId, version: answer.version, upstream: answer.upstream };
    this.#deps.timeline.record('answerFinished', subject, { totalMs: answer.totalMs });
    this.#deps.metrics.recordAnswer({
      team: this.#request.identity.team.metadata.name,
      version: answer.version,
      firstTokenMs: answer.firstTokenMs,
      totalMs: Date.now() - this.#startedAtMs,
      completionTokens: answer.usage.completionTokens,
      costMicroUsd: this.#account.costMicroUsd,
    });
    const wasRated = plan.steps[stepIndex]?.acceptAboveScore !== undefined;
    if (!wasRated && (plan.shouldRateAfterRelease || stepIndex > 0)) {
      this.#deps.evidence.submitSample(this.#getSubject(answer.version, stepIndex > 0), {
        requestId,
        prompt: this.#promptText,
        answer: answer.text,
      });
    }
    if (plan.shadowVersion !== undefined) {
      this.#startShadow(plan.shadowVersion, stepIndex > 0);
    }
    if (plan.pair !== undefined && this.#stableAnswerText !== undefined) {
      this.#startPair(plan.pair, this.#stableAnswerText);
    }
    if (this.#claim !== undefined) {
      storeAnswer(this.#deps, this.#claim, {
        status: 200,
        contentType: 'application/json',
        body: toCompletionBody(toCompletionFields(this.#request.requestId, answer)),
        encoding: 'utf8',
        version: answer.version,
      });
    }
  }

  /**
   * The shadow answer's rating counts as direct evidence and, if the request was escalated, also as
   * evidence for escalated requests.
   */
  #startShadow(version: VersionId, hasEscalated: boolean): void {
    const direct = this.#getSubject(version, false);
    const escalated = this.#getSubject(version, true);
    this.#shadows.start({
      request: this.#request,
      version,
      promptText: this.#promptText,
      subjects: hasEscalated ? [direct, escalated] : [direct],
    });
  }

  #startPair({ stableVersion, candidateVersion }: PlannedPair, stableText: string): void {
    this.#shadows.start({
      request: this.#request,
      version: candidateVersion,
      promptText: this.#promptText,
      subjects: [this.#getSubject(candidateVersion, false)],
      stable: { subject: this.#getSubject(stableVersion, false), answer: stableText },
    });
  }

  #getBaseHeaders(): AnswerHeaders {
    return { [REQUEST_ID_HEADER]: this.#request.requestId };
  }

  #getHeaders(version: VersionId, plan: ChatPlan, session: SessionState): AnswerHeaders {
    const pin = createPin(this.#request, session, version);
    return {
      ...this.#getBaseHeaders(),
      [VERSION_HEADER]: version,
      [PLAN_HEADER]: plan.reason,
      [SESSION_HEADER]: this.#deps.tokens.issue(pin),
      ...(session.kind === 'moving' ? { [SESSION_MOVED_HEADER]: session.reason } : {}),
    };
  }

  #refuse(error: unknown): void {
    const refusal = this.#toRefusal(error);
    const { requestId } = this.#request;
    const team = this.#request.identity.team.metadata.name;
    const detail = { code: refusal.code, verdict: refusal.verdict };
    this.#deps.timeline.record('requestRefused', { requestId, team }, detail);
    this.#deps.metrics.recordRefusal(team, refusal.code);
    this.#sink.refuse(refusal, this.#getBaseHeaders());
    finalizeRefused(this.#deps, {
      refusal,
      tracker: this.#tracker,
      account: this.#account,
      claim: this.#claim,
    });
  }

  #toRefusal(error: unknown): Refusal {
    if (error instanceof Refusal) {
      return error;
    }
    const { requestId } = this.#request;
    this.#deps.logger.error({ requestId, err: error }, 'request failed');
    return new Refusal('upstreamFailed', 'internal error', this.#tracker, { cause: error });
  }
}

/**
 * Sends a request to a further version in the background; its answer is rated, but never returned
 * to the caller or billed.
 */
import { asId, type UpstreamId, type VersionId } from '@snipehaven/common';
import type { EvidenceSubject, PairedAnswer } from '@snipehaven/rollouts';
import { AnswerAssembler } from './answerAssembler.js';
import { toEngineBody } from './chatBody.js';
import type { RoutingDependencies } from './dependencies.js';
import { EngineAttempt } from './engineAttempt.js';
import { RequestSignal } from './requestSignal.js';
import { Dispatch } from './runTracker.js';
import type { ChatRequest } from './types.js';
import type { UpstreamEntry } from './upstreamEntry.js';

export interface ShadowRequest {
  readonly request: ChatRequest;
  readonly version: VersionId;
  readonly promptText: string;
  /** The evidence subjects that the rating of the answer counts for. */
  readonly subjects: readonly EvidenceSubject[];
  /** The stable version's answer, if both answers are rated as a pair. */
  readonly stable?: PairedAnswer;
}

/** Shadows beyond this number are skipped, since callers have precedence. */
const MAX_CONCURRENT_SHADOWS = 8;
const LOWEST_PRIORITY = 0;
const SHADOW_DEADLINE_MS = 60_000;

export class ShadowRunner {
  readonly #deps: RoutingDependencies;

  #running = 0;

  constructor(deps: RoutingDependencies) {
    this.#deps = deps;
  }

  /** Starts a shadow in the background if the limit and an upstream's capacity allow it. */
  start(shadow: ShadowRequest): void {
    const entry = this.#findUpstream(shadow.version);
    if (entry === undefined) {
      return;
    }
    this.#running += 1;
    entry.recordSent(Date.now());
    this.#run(shadow, entry)
      .catch((error: unknown) => {
        this.#deps.logger.debug({ err: error, version: shadow.version }, 'shadow request failed');
      })
      .finally(() => {
        this.#running -= 1;
        entry.recordEnded();
      });
  }

  #findUpstream(version: VersionId): UpstreamEntry | undefined {
    if (this.#running >= MAX_CONCURRENT_SHADOWS || this.#deps.safeMoves.isVersionBlocked(version)) {
      return undefined;
    }
    return this.#deps.registry.choose({ version, excludedIds: [] })?.entry;
  }

  async #run(shadow: ShadowRequest, entry: UpstreamEntry): Promise<void> {
    const assembler = new AnswerAssembler(true);
    const neverAborted = new AbortController();
    const signal = new RequestSignal(Date.now() + SHADOW_DEADLINE_MS, neverAborted.signal);
    try {
      for await (const events of this.#createAttempt(shadow, entry, signal).events()) {
        events.forEach((event) => assembler.add(event.data));
      }
    } finally {
      signal.dispose();
    }
    this.#submit(shadow, assembler.text);
  }

  #createAttempt(
    { request, version }: ShadowRequest,
    entry: UpstreamEntry,
    signal: RequestSignal,
  ): EngineAttempt {
    const { engines, settings, timeline } = this.#deps;
    const streamId = `${request.requestId}.shadow.${version}`;
    return new EngineAttempt({
      engines,
      run: {
        url: entry.spec.url,
        streamId,
        requestKey: streamId,
        body: toEngineBody(request.body, version),
        priority: LOWEST_PRIORITY,
        firstByteTimeoutMs: settings.firstByteTimeoutMs,
        betweenChunksTimeoutMs: settings.betweenChunksTimeoutMs,
      },
      upstream: asId<UpstreamId>(entry.id),
      requestId: request.requestId,
      dispatch: new Dispatch(),
      signal: signal.signal,
      timeline,
    });
  }

  /**
   * Submits the answer without its latency: shadows wait at the lowest priority, which would make
   * the version look slow.
   */
  #submit({ request, promptText, subjects, stable }: ShadowRequest, answer: string): void {
    const [subject] = subjects;
    if (stable !== undefined && subject !== undefined) {
      const { requestId } = request;
      const candidate = { subject, answer };
      this.#deps.evidence.submitPair({ requestId, prompt: promptText, stable, candidate });
      return;
    }
    subjects.forEach((rated, index) => {
      this.#deps.evidence.submitSample(rated, {
        requestId: `${request.requestId}.shadow.${index}`,
        prompt: promptText,
        answer,
      });
    });
  }
}

/** Asks a version beside the one that answers: its answer is rated, never released and never billed. */
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

/** What to ask in the shadow of which request. */
export interface ShadowRequest {
  readonly request: ChatRequest;
  readonly version: VersionId;
  readonly promptText: string;
  /** The kinds of evidence that the answer's rating counts for. */
  readonly subjects: readonly EvidenceSubject[];
  /** The stable version's answer, where both are rated as a pair. */
  readonly stable?: PairedAnswer;
}

/** Shadows that one daemon runs at a time; more are left out, for callers come first. */
const MAX_SHADOWS = 8;
const LOWEST_PRIORITY = 0;
const SHADOW_DEADLINE_MS = 60_000;

export class ShadowRunner {
  readonly #deps: RoutingDependencies;

  #running = 0;

  constructor(deps: RoutingDependencies) {
    this.#deps = deps;
  }

  /** Starts a shadow in the background, if there is room for it. */
  start(shadow: ShadowRequest): void {
    const entry = this.#findRoom(shadow.version);
    if (entry === undefined) {
      return;
    }
    this.#running += 1;
    entry.noteSent(Date.now());
    this.#run(shadow, entry)
      .catch((error: unknown) => {
        this.#deps.logger.debug({ err: error, version: shadow.version }, 'a shadow failed');
      })
      .finally(() => {
        this.#running -= 1;
        entry.noteEnded();
      });
  }

  #findRoom(version: VersionId): UpstreamEntry | undefined {
    if (this.#running >= MAX_SHADOWS || this.#deps.safeMoves.isVersionBlocked(version)) {
      return undefined;
    }
    return this.#deps.registry.choose({ version, excludedIds: [] })?.entry;
  }

  async #run(shadow: ShadowRequest, entry: UpstreamEntry): Promise<void> {
    const assembler = new AnswerAssembler(true);
    const nobody = new AbortController();
    const signal = new RequestSignal(Date.now() + SHADOW_DEADLINE_MS, nobody.signal);
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

  /** Only its quality counts: at the lowest priority it waits, and would look like a slow version. */
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

/** Reads one run at one engine to its end, across broken connections. */
import { invariant, sleep, type UpstreamId } from '@snipehaven/common';
import type { TimelineRecorder } from '@snipehaven/timeline';
import {
  DONE_DATA,
  UpstreamAbortedError,
  UpstreamBrokenError,
  UpstreamNotStartedError,
  UpstreamSilentError,
  type EngineClient,
  type EngineEvent,
  type EngineRun,
} from '@snipehaven/upstream';
import { MAX_RESUMES, RESUME_BACKOFF_MS } from './constants.js';
import type { Dispatch } from './runTracker.js';

export interface AttemptOptions {
  readonly engines: EngineClient;
  readonly run: EngineRun;
  readonly upstream: UpstreamId;
  readonly requestId: string;
  readonly dispatch: Dispatch;
  readonly signal: AbortSignal;
  readonly timeline: TimelineRecorder;
}

const canResumeAfter = (error: unknown): boolean =>
  error instanceof UpstreamSilentError || error instanceof UpstreamBrokenError;

/**
 * Reads the events of a run in order, each exactly once. If the connection goes silent or breaks
 * while the run continues, the caller would wait forever or get a truncated answer. The attempt
 * therefore resumes the same run from the last offset on a new connection; this does not start a
 * second run. Offsets must be contiguous; events received twice are dropped.
 */
export class EngineAttempt {
  readonly #options: AttemptOptions;

  #lastOffset = 0;

  #resumes = 0;

  #isDone = false;

  constructor(options: AttemptOptions) {
    this.#options = options;
  }

  get lastOffset(): number {
    return this.#lastOffset;
  }

  /** Whether the whole answer was read. */
  get isDone(): boolean {
    return this.#isDone;
  }

  /** Batches of events without the final `[DONE]`; throws the errors of the upstream package. */
  async *events(): AsyncGenerator<readonly EngineEvent[]> {
    while (!this.#isDone) {
      try {
        yield* this.#readConnection();
      } catch (error) {
        await this.#prepareResume(error);
      }
    }
  }

  async *#readConnection(): AsyncGenerator<readonly EngineEvent[]> {
    const { engines, run, signal, dispatch } = this.#options;
    const isFirst = this.#resumes === 0;
    const source = isFirst
      ? engines.start(run, signal)
      : engines.resume(run, this.#lastOffset, signal);
    for await (const batch of source) {
      dispatch.markRunning();
      const newEvents = this.#dropDuplicates(batch);
      if (newEvents.length > 0) {
        yield newEvents;
      }
    }
    if (!this.#isDone) {
      throw new UpstreamBrokenError(
        `the stream ended after offset ${this.#lastOffset} without [DONE]`,
      );
    }
  }

  #dropDuplicates(batch: readonly EngineEvent[]): readonly EngineEvent[] {
    const newEvents = batch.filter((event) => event.offset > this.#lastOffset);
    this.#assertNoGap(newEvents);
    this.#lastOffset = newEvents.at(-1)?.offset ?? this.#lastOffset;
    const hasDone = newEvents.at(-1)?.data === DONE_DATA;
    invariant(
      !(this.#isDone && newEvents.length > 0),
      'wholeAnswer',
      'events received after the end of the stream',
    );
    this.#isDone = this.#isDone || hasDone;
    return hasDone ? newEvents.slice(0, -1) : newEvents;
  }

  /**
   * Must be called before any event of the batch counts as read: all are sent again after a resume.
   */
  #assertNoGap(newEvents: readonly EngineEvent[]): void {
    const gap = newEvents.find((event, index) => event.offset !== this.#lastOffset + index + 1);
    if (gap !== undefined) {
      throw new UpstreamBrokenError(
        `gap in the stream: offset ${gap.offset} follows ${this.#lastOffset}`,
      );
    }
  }

  async #prepareResume(error: unknown): Promise<void> {
    const { dispatch, signal, timeline, requestId, upstream } = this.#options;
    if (error instanceof UpstreamNotStartedError && this.#resumes === 0) {
      dispatch.markNotRun(error);
      throw error;
    }
    const isNotResumable = signal.aborted || this.#resumes >= MAX_RESUMES || !canResumeAfter(error);
    if (isNotResumable && !this.#canRetryResume(error)) {
      throw error;
    }
    this.#resumes += 1;
    timeline.record('attemptSilent', { requestId, upstream }, { afterOffset: this.#lastOffset });
    await sleep(RESUME_BACKOFF_MS * this.#resumes, signal);
    if (signal.aborted) {
      throw new UpstreamAbortedError(`${upstream}: aborted`, { cause: error });
    }
    timeline.record('attemptResumed', { requestId, upstream }, { resumes: this.#resumes });
  }

  /** A resume that could not connect says nothing about the run, which is known to have started. */
  #canRetryResume(error: unknown): boolean {
    return (
      error instanceof UpstreamNotStartedError &&
      this.#resumes < MAX_RESUMES &&
      !this.#options.signal.aborted
    );
  }
}

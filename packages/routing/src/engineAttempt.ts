/** One run of a request at one engine, read whole in spite of dead connections. */
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
import { MAX_RESUMES, RESUME_PAUSE_MS } from './constants.js';
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
 * Reads a run's events in order, each exactly once.
 *
 * What goes wrong: the connection to the engine goes silent or breaks while the run goes on. The caller
 * would wait for ever, or get a cut answer. The attempt resumes the same run from the last offset on a
 * new connection, which is no second run. Offsets must follow each other without a gap; events that
 * come twice are dropped.
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

  /** Batches of events without the final mark; throws the upstream layer's errors. */
  async *events(): AsyncGenerator<readonly EngineEvent[]> {
    while (!this.#isDone) {
      try {
        yield* this.#readOnce();
      } catch (error) {
        await this.#prepareResume(error);
      }
    }
  }

  async *#readOnce(): AsyncGenerator<readonly EngineEvent[]> {
    const { engines, run, signal, dispatch } = this.#options;
    const isFirst = this.#resumes === 0;
    const source = isFirst
      ? engines.start(run, signal)
      : engines.resume(run, this.#lastOffset, signal);
    for await (const batch of source) {
      dispatch.noteRunning();
      const fresh = this.#takeFresh(batch);
      if (fresh.length > 0) {
        yield fresh;
      }
    }
    if (!this.#isDone) {
      throw new UpstreamBrokenError(`the stream ended after ${this.#lastOffset} without its end`);
    }
  }

  #takeFresh(batch: readonly EngineEvent[]): readonly EngineEvent[] {
    const fresh = batch.filter((event) => event.offset > this.#lastOffset);
    this.#assertNoGap(fresh);
    this.#lastOffset = fresh.at(-1)?.offset ?? this.#lastOffset;
    const hasDone = fresh.at(-1)?.data === DONE_DATA;
    invariant(!(this.#isDone && fresh.length > 0), 'wholeAnswer', 'events after the end');
    this.#isDone = this.#isDone || hasDone;
    return hasDone ? fresh.slice(0, -1) : fresh;
  }

  /** Checked before any event of the batch counts as read: they all come again after the resume. */
  #assertNoGap(fresh: readonly EngineEvent[]): void {
    const gap = fresh.find((event, index) => event.offset !== this.#lastOffset + index + 1);
    if (gap !== undefined) {
      throw new UpstreamBrokenError(`offset ${gap.offset} after ${this.#lastOffset}`);
    }
  }

  async #prepareResume(error: unknown): Promise<void> {
    const { dispatch, signal, timeline, requestId, upstream } = this.#options;
    if (error instanceof UpstreamNotStartedError && this.#resumes === 0) {
      dispatch.proveNotRun(error);
      throw error;
    }
    const isLost = signal.aborted || this.#resumes >= MAX_RESUMES || !canResumeAfter(error);
    if (isLost && !this.#canRetryResume(error)) {
      throw error;
    }
    this.#resumes += 1;
    timeline.record('attemptSilent', { requestId, upstream }, { afterOffset: this.#lastOffset });
    await sleep(RESUME_PAUSE_MS * this.#resumes, signal);
    if (signal.aborted) {
      throw new UpstreamAbortedError(`${upstream}: aborted`, { cause: error });
    }
    timeline.record('attemptResumed', { requestId, upstream }, { resumes: this.#resumes });
  }

  /** A resume that could not connect says nothing about the run, which is known to have begun. */
  #canRetryResume(error: unknown): boolean {
    return (
      error instanceof UpstreamNotStartedError &&
      this.#resumes < MAX_RESUMES &&
      !this.#options.signal.aborted
    );
  }
}

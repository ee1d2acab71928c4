/** How fast a service's upstreams get through work, learned from how long answers took to begin. */

/** Older answers count this much less with each new one: some fifty say most. */
const FADING = 0.98;

/** Before anything is learned: work per ms of a slow engine. */
const FIRST_WORK = 2_000;
const FIRST_MS = 100;

export class WorkPace {
  #work = FIRST_WORK;

  #ms = FIRST_MS;

  /** An answer began after the time, with this much work ahead of its beginning. */
  note(work: number, tookMs: number): void {
    this.#work = this.#work * FADING + work;
    this.#ms = this.#ms * FADING + Math.max(1, tookMs);
  }

  /** What is done in this time. */
  estimateWork(ms: number): number {
    return ms * (this.#work / Math.max(1, this.#ms));
  }

  /** Until work of this size is done. */
  estimateMs(work: number): number {
    return work * (this.#ms / Math.max(1, this.#work));
  }
}

/** How fast a service's upstreams get through work, learned from how long answers took to begin. */

/** Work that was done, and how long it took. */
export interface PaceSum {
  readonly work: number;
  readonly tookMs: number;
}

/** Older answers count this much less with each new one: some fifty say most. */
const FADING = 0.98;

/** Before anything is learned: work per ms of a slow engine. */
const FIRST_WORK = 2_000;
const FIRST_MS = 100;

export class WorkPace {
  readonly #getOthers: () => PaceSum | undefined;

  /** What is left of the first guess. */
  #firstShare = 1;

  #work = 0;

  #tookMs = 0;

  /**
   * `getOthers`: what other daemons learned. A daemon that knows its own answers only takes long
   * prompts for slower than they are, until it has seen some; of 195 daemons each sees one in three
   * seconds.
   */
  constructor(getOthers: () => PaceSum | undefined = () => undefined) {
    this.#getOthers = getOthers;
  }

  /** What this daemon learned itself. */
  get own(): PaceSum {
    return { work: this.#work, tookMs: this.#tookMs };
  }

  /** An answer began after the time, with this much work ahead of its beginning. */
  note(work: number, tookMs: number): void {
    this.#work = this.#work * FADING + work;
    this.#tookMs = this.#tookMs * FADING + Math.max(1, tookMs);
    this.#firstShare *= FADING;
  }

  /** What is done in this time. */
  estimateWork(ms: number): number {
    const { work, tookMs } = this.#sum;
    return ms * (work / tookMs);
  }

  /** Until work of this size is done. */
  estimateMs(work: number): number {
    const sum = this.#sum;
    return work * (sum.tookMs / sum.work);
  }

  get #sum(): PaceSum {
    const others = this.#getOthers();
    return {
      work: FIRST_WORK * this.#firstShare + this.#work + (others?.work ?? 0),
      tookMs: FIRST_MS * this.#firstShare + this.#tookMs + (others?.tookMs ?? 0),
    };
  }
}

/**
 * Tells a data centre that cannot be reached from upstreams of it that are gone. Behind a cut each
 * upstream is found out by its own silence, 0.9 s and more at a time: of a cut's late requests four in
 * ten spent most of their time so. Two that do not answer, and nothing from any other there, are
 * enough.
 */

/** Silent upstreams that make their data centre suspect. */
const SILENT_UPSTREAMS = 2;

/** They count together when found out within this: requests to them were under way at the same time. */
const TOGETHER_MS = 1_500;

/** As for a single upstream: left alone this long at first, and longer each time. */
const FIRST_SUSPICION_MS = 800;
const MAX_SUSPICION_MS = 3_000;

interface CentreState {
  /** By upstream, when it was found silent; emptied by any sign of life there. */
  readonly silent: Map<string, number>;
  suspectUntilMs: number;
  suspicionMs: number;
}

export class DataCentreWatch {
  readonly #centres = new Map<string, CentreState>();

  /**
   * An upstream there refused a connection or was silent. True when its data centre is suspect from now
   * on.
   */
  noteSilent(dataCentre: string, upstream: string, nowMs: number): boolean {
    const state = this.#getState(dataCentre);
    for (const [known, atMs] of state.silent) {
      if (nowMs - atMs > TOGETHER_MS) {
        state.silent.delete(known);
      }
    }
    state.silent.set(upstream, nowMs);
    const isNew = state.silent.size >= SILENT_UPSTREAMS && nowMs >= state.suspectUntilMs;
    if (isNew) {
      state.suspectUntilMs = nowMs + state.suspicionMs;
      state.suspicionMs = Math.min(MAX_SUSPICION_MS, state.suspicionMs * 2);
    }
    return isNew;
  }

  /** An upstream there sent something. */
  noteAlive(dataCentre: string): void {
    this.#centres.delete(dataCentre);
  }

  isSuspect(dataCentre: string, nowMs: number): boolean {
    return nowMs < (this.#centres.get(dataCentre)?.suspectUntilMs ?? 0);
  }

  #getState(dataCentre: string): CentreState {
    const known = this.#centres.get(dataCentre);
    if (known !== undefined) {
      return known;
    }
    const state = {
      silent: new Map<string, number>(),
      suspectUntilMs: 0,
      suspicionMs: FIRST_SUSPICION_MS,
    };
    this.#centres.set(dataCentre, state);
    return state;
  }
}

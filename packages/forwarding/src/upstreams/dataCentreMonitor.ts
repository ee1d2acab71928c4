/**
 * Tells a data centre that cannot be reached from upstreams of it that are gone. Behind a cut each
 * upstream is found out by its own silence, 0.9 s and more at a time: of a cut's late requests four in
 * ten spent most of their time so. Two that do not answer, and nothing from any other there, are
 * enough.
 */

/** Silent upstreams that make their data centre suspect. */
const MIN_UNREACHABLE_UPSTREAMS = 2;

/** They count together when found out within this: requests to them were under way at the same time. */
const CORRELATION_WINDOW_MS = 1_500;

/** As for a single upstream: left alone this long at first, and longer each time. */
const INITIAL_SUSPICION_MS = 800;
const MAX_SUSPICION_MS = 3_000;

interface SuspicionState {
  /** By upstream, when it was found silent; emptied by any sign of life there. */
  readonly unreachableAtMs: Map<string, number>;
  suspectUntilMs: number;
  suspicionMs: number;
}

export class DataCentreMonitor {
  readonly #statesByDataCentre = new Map<string, SuspicionState>();

  /**
   * An upstream there refused a connection or was silent. True when its data centre is suspect from now
   * on.
   */
  recordUnreachable(dataCentre: string, upstream: string, nowMs: number): boolean {
    const state = this.#getState(dataCentre);
    for (const [known, atMs] of state.unreachableAtMs) {
      if (nowMs - atMs > CORRELATION_WINDOW_MS) {
        state.unreachableAtMs.delete(known);
      }
    }
    state.unreachableAtMs.set(upstream, nowMs);
    const isNew =
      state.unreachableAtMs.size >= MIN_UNREACHABLE_UPSTREAMS && nowMs >= state.suspectUntilMs;
    if (isNew) {
      state.suspectUntilMs = nowMs + state.suspicionMs;
      state.suspicionMs = Math.min(MAX_SUSPICION_MS, state.suspicionMs * 2);
    }
    return isNew;
  }

  /** An upstream there sent something. */
  recordActivity(dataCentre: string): void {
    this.#statesByDataCentre.delete(dataCentre);
  }

  isSuspect(dataCentre: string, nowMs: number): boolean {
    return nowMs < (this.#statesByDataCentre.get(dataCentre)?.suspectUntilMs ?? 0);
  }

  #getState(dataCentre: string): SuspicionState {
    const known = this.#statesByDataCentre.get(dataCentre);
    if (known !== undefined) {
      return known;
    }
    const state = {
      unreachableAtMs: new Map<string, number>(),
      suspectUntilMs: 0,
      suspicionMs: INITIAL_SUSPICION_MS,
    };
    this.#statesByDataCentre.set(dataCentre, state);
    return state;
  }
}

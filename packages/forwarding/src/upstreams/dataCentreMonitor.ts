/**
 * Distinguishes an unreachable data centre from single upstreams that are gone. In a network
 * partition each upstream is otherwise detected by its own silence, at 0.9 s or more each: of the
 * late requests during a partition, four in ten spent most of their time on this. Two upstreams
 * that do not answer, and no activity from any other in the data centre, are enough.
 */

/** Number of unreachable upstreams that make their data centre suspect. */
const MIN_UNREACHABLE_UPSTREAMS = 2;

/**
 * Detections within this time are counted together, as the requests to those upstreams were in
 * flight at the same time.
 */
const CORRELATION_WINDOW_MS = 1_500;

/**
 * As for a single upstream: the initial time for which it is avoided, doubled each time up to the
 * maximum.
 */
const INITIAL_SUSPICION_MS = 800;
const MAX_SUSPICION_MS = 3_000;

interface SuspicionState {
  /** Detection time by upstream; cleared by any activity in the data centre. */
  readonly unreachableAtMs: Map<string, number>;
  suspectUntilMs: number;
  suspicionMs: number;
}

export class DataCentreMonitor {
  readonly #statesByDataCentre = new Map<string, SuspicionState>();

  /**
   * Records that an upstream refused a connection or was silent. Returns true when this makes its
   * data centre suspect.
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

  /** Clears the suspicion, as an upstream in the data centre sent something. */
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

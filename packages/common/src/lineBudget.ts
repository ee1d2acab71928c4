/**
 * Bounds the log lines of each kind in a second. Under load a line for each decision would take more of the
 * processor than the decisions; what is left out is counted, and the count is logged.
 */

/** Lines of one kind a second; a daemon with 60 requests a second stays below it. */
const MAX_LINES_PER_S = 150;
const SECOND_MS = 1_000;

export class LineBudget {
  #startedAtMs = 0;

  #lines = new Map<string, number>();

  /** Whether a line of this kind may be written now. */
  take(kind: string, nowMs: number): boolean {
    const lines = (this.#lines.get(kind) ?? 0) + 1;
    this.#lines.set(kind, lines);
    this.#startedAtMs ||= nowMs;
    return lines <= MAX_LINES_PER_S;
  }

  /** Once a second: how many lines of each kind were left out since; undefined while none were. */
  takeLeftOut(nowMs: number): Readonly<Record<string, number>> | undefined {
    if (nowMs - this.#startedAtMs < SECOND_MS) {
      return undefined;
    }
    const leftOut = [...this.#lines].filter(([, lines]) => lines > MAX_LINES_PER_S);
    this.#startedAtMs = nowMs;
    this.#lines = new Map();
    const counts = leftOut.map(([kind, lines]) => [kind, lines - MAX_LINES_PER_S] as const);
    return counts.length > 0 ? Object.fromEntries(counts) : undefined;
  }
}

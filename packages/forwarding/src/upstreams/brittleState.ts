/**
 * How many requests one incarnation of an upstream can turn away in a second for want of room, by its
 * latest answers.
 */
export class BrittleState {
  #rejectionsPerS: number | undefined;

  #sentAtMs = -Infinity;

  /** From all daemons together; undefined while the upstream states nothing. */
  get rejectionsPerS(): number | undefined {
    return this.#rejectionsPerS;
  }

  /**
   * Applies an answer to a request sent at that time; answers overtake each other. Returns true if the
   * upstream has become brittle, or no longer is.
   */
  apply(rejectionsPerS: number | undefined, sentAtMs: number): boolean {
    if (sentAtMs < this.#sentAtMs) {
      return false;
    }
    this.#sentAtMs = sentAtMs;
    const isChanged = (rejectionsPerS === undefined) !== (this.#rejectionsPerS === undefined);
    this.#rejectionsPerS = rejectionsPerS;
    return isChanged;
  }
}

/** Tracks for how long the lease rows of other holders have been unchanged. */

interface Observation {
  readonly version: number;
  readonly sinceMs: number;
}

/**
 * Clocks differ between VMs. If the row stored an expiry time, a member with a fast clock would
 * take the lease too early and there would be two holders. Instead, a member waits for the whole
 * duration by its own monotonic clock since it first saw the current version of the row; a live
 * holder changes the row in the meantime.
 */
export class LeaseObservations {
  readonly #observations = new Map<string, Observation>();

  /**
   * Whether the row has been at this version for the duration. The first call for a version starts
   * the observation.
   */
  isUnchangedFor(name: string, version: number, durationMs: number): boolean {
    const nowMs = performance.now();
    const seen = this.#observations.get(name);
    if (seen?.version !== version) {
      this.#observations.set(name, { version, sinceMs: nowMs });
      return false;
    }
    return nowMs - seen.sinceMs >= durationMs;
  }

  forget(name: string): void {
    this.#observations.delete(name);
  }
}

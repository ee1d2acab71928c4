/** How long this process has seen others' lease rows unchanged. */

interface Observation {
  readonly version: number;
  readonly sinceMs: number;
}

/**
 * What goes wrong: clocks differ between VMs, so an end of the lease written as a time lets a taker with a
 * fast clock in too early. One notices two holders at once. A taker waits the whole duration by its
 * own monotonic clock from when it first saw the row as it is: a holder that lives changes it.
 */
export class LeaseObservations {
  readonly #observations = new Map<string, Observation>();

  /** Whether the row has been at this version for the duration; starts to watch when it is new. */
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

/** Determines when an owner has been dead for long enough to be adopted. */
export interface DeathConfirmerSettings {
  readonly checkIntervalMs: number;
  readonly adoptAfterMs: number;
}

/** An owner unknown to membership may have just joined, so its waiting time is this much longer. */
const UNSEEN_FACTOR = 12;
/** A gap between checks of more than this many intervals means that this process was paused. */
const PAUSE_INTERVALS = 3;

export class DeathConfirmer {
  readonly #settings: DeathConfirmerSettings;

  readonly #deadSinceMs = new Map<string, number>();

  readonly #met = new Set<string>();

  #checkedAtMs = Date.now();

  constructor(settings: DeathConfirmerSettings) {
    this.#settings = settings;
  }

  /** Records that the owner is alive. */
  noteAlive(owner: string): void {
    this.#deadSinceMs.delete(owner);
  }

  forget(owner: string): void {
    this.#deadSinceMs.delete(owner);
    this.#met.delete(owner);
  }

  /**
   * Applies the current membership view; returns the owners that have been dead for long enough. The
   * wait restarts after a gap between checks: a process that was paused would otherwise take others for
   * dead by its stale view and cancel the runs of daemons that are serving.
   */
  check(
    owners: readonly string[],
    isAlive: (owner: string) => boolean,
    isMet: (owner: string) => boolean = () => false,
  ): readonly string[] {
    const nowMs = Date.now();
    const gapMs = Math.abs(nowMs - this.#checkedAtMs);
    this.#checkedAtMs = nowMs;
    if (gapMs > PAUSE_INTERVALS * this.#settings.checkIntervalMs) {
      this.#deadSinceMs.clear();
    }
    owners.filter(isMet).forEach((owner) => this.#met.add(owner));
    return owners.filter((owner) => this.#isConfirmed(owner, isAlive(owner), nowMs));
  }

  #isConfirmed(owner: string, isAlive: boolean, nowMs: number): boolean {
    if (isAlive) {
      this.#met.add(owner);
      this.#deadSinceMs.delete(owner);
      return false;
    }
    const sinceMs = this.#deadSinceMs.get(owner) ?? nowMs;
    this.#deadSinceMs.set(owner, sinceMs);
    const factor = this.#met.has(owner) ? 1 : UNSEEN_FACTOR;
    return nowMs - sinceMs >= this.#settings.adoptAfterMs * factor;
  }
}

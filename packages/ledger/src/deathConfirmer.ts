/** Tells when an owner has been dead for long enough to be adopted. */
export interface DeathConfirmerSettings {
  readonly checkIntervalMs: number;
  readonly adoptAfterMs: number;
}

/** An owner that membership has never met may just be new there; it gets this much longer. */
const UNSEEN_FACTOR = 12;
/** Checks further apart than this many intervals mean that this process was paused. */
const PAUSE_INTERVALS = 3;

export class DeathConfirmer {
  readonly #settings: DeathConfirmerSettings;

  readonly #deadSinceMs = new Map<string, number>();

  readonly #met = new Set<string>();

  #checkedAtMs = Date.now();

  constructor(settings: DeathConfirmerSettings) {
    this.#settings = settings;
  }

  /** Notes a sign of life. */
  noteAlive(owner: string): void {
    this.#deadSinceMs.delete(owner);
  }

  forget(owner: string): void {
    this.#deadSinceMs.delete(owner);
    this.#met.delete(owner);
  }

  /**
   * Takes in membership's present word; returns the owners that have been dead for long enough. What goes
   * wrong: this process is paused, finds others dead by a stale view when it wakes, and cancels the runs
   * of daemons that serve. One notices answers cut everywhere after one pause. After a gap between
   * checks the wait begins anew.
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

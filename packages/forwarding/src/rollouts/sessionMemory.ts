/** On which of two versions the sessions seen here ran last. */

type VersionSide = 'new' | 'old';

interface Sighting {
  readonly side: VersionSide;
  readonly atMs: number;
}

/** Sessions kept at once; the oldest are forgotten first. */
const MAX_SESSIONS = 20_000;

export class SessionMemory {
  readonly #ttlMs: number;

  readonly #sightings = new Map<string, Sighting>();

  constructor(ttlMs: number) {
    this.#ttlMs = ttlMs;
  }

  find(session: string): VersionSide | undefined {
    const sighting = this.#sightings.get(session);
    return sighting && performance.now() - sighting.atMs < this.#ttlMs ? sighting.side : undefined;
  }

  note(session: string, side: VersionSide): void {
    this.#sightings.delete(session);
    this.#sightings.set(session, { side, atMs: performance.now() });
    if (this.#sightings.size > MAX_SESSIONS) {
      const [oldest] = this.#sightings.keys();
      this.#sightings.delete(oldest ?? session);
    }
  }
}

/** Slots of an upstream, and the requests that wait for one. */

export interface Room {
  readonly slots: number;
  readonly waitingPlaces: number;
}

export class Admission {
  #running = 0;

  readonly #waiting: (() => Promise<void>)[] = [];

  /** False if there is no room; the request is not run then. */
  admit(room: Room, run: () => Promise<void>): boolean {
    if (this.#running < room.slots) {
      void this.#run(run);
      return true;
    }
    if (this.#waiting.length < room.waitingPlaces) {
      this.#waiting.push(run);
      return true;
    }
    return false;
  }

  async #run(run: () => Promise<void>): Promise<void> {
    this.#running += 1;
    try {
      await run();
    } finally {
      this.#running -= 1;
      const next = this.#waiting.shift();
      if (next !== undefined) {
        void this.#run(next);
      }
    }
  }
}

/** A virtual clock: runs callbacks in order of time, ties in order of insertion. */

interface QueuedEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

const isBefore = (a: QueuedEvent, b: QueuedEvent): boolean =>
  a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);

/** A binary heap of events. */
export class EventQueue {
  #events: QueuedEvent[] = [];

  #order = 0;

  #nowMs = 0;

  get nowMs(): number {
    return this.#nowMs;
  }

  /** Runs the callback at the moment, or now if that has passed. */
  schedule(atMs: number, run: () => void): void {
    this.#order += 1;
    this.#events.push({ atMs: Math.max(atMs, this.#nowMs), order: this.#order, run });
    this.#rise(this.#events.length - 1);
  }

  /** Runs all events up to and including the moment. */
  runUntil(untilMs: number): void {
    for (let next = this.#peek(); next && next.atMs <= untilMs; next = this.#peek()) {
      this.#removeFirst();
      this.#nowMs = next.atMs;
      next.run();
    }
    this.#nowMs = untilMs;
  }

  #peek(): QueuedEvent | undefined {
    return this.#events[0];
  }

  #removeFirst(): void {
    const last = this.#events.pop();
    if (last && this.#events.length > 0) {
      this.#events[0] = last;
      this.#sink(0);
    }
  }

  #rise(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!this.#swapIfBefore(index, parent)) {
        return;
      }
      index = parent;
    }
  }

  #sink(start: number): void {
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      const child = this.#isBeforeAt(left + 1, left) ? left + 1 : left;
      if (!this.#swapIfBefore(child, index)) {
        return;
      }
      index = child;
    }
  }

  #isBeforeAt(index: number, other: number): boolean {
    const a = this.#events[index];
    const b = this.#events[other];
    return a !== undefined && b !== undefined && isBefore(a, b);
  }

  #swapIfBefore(index: number, other: number): boolean {
    if (!this.#isBeforeAt(index, other)) {
      return false;
    }
    const event = this.#events[index] as QueuedEvent;
    this.#events[index] = this.#events[other] as QueuedEvent;
    this.#events[other] = event;
    return true;
  }
}

/** A virtual clock with a binary heap of events; ties run in the order they were scheduled. */

interface ScheduledEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

const isBefore = (a: ScheduledEvent, b: ScheduledEvent): boolean =>
  a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);

/** Events by time. */
export class EventQueue {
  #heap: ScheduledEvent[] = [];

  #order = 0;

  #nowMs = 0;

  get nowMs(): number {
    return this.#nowMs;
  }

  /** Runs a function after a delay of virtual time. */
  schedule(delayMs: number, run: () => void): void {
    this.#order += 1;
    this.#heap.push({ atMs: this.#nowMs + Math.max(0, delayMs), order: this.#order, run });
    this.#siftUp(this.#heap.length - 1);
  }

  /** Runs all events up to a time. */
  runUntil(endMs: number): void {
    while (this.#heap.length > 0 && this.#at(0).atMs <= endMs) {
      const event = this.#at(0);
      this.#removeFirst();
      this.#nowMs = event.atMs;
      event.run();
    }
    this.#nowMs = endMs;
  }

  #at(index: number): ScheduledEvent {
    return this.#heap[index] as ScheduledEvent;
  }

  #swap(a: number, b: number): void {
    const held = this.#at(a);
    this.#heap[a] = this.#at(b);
    this.#heap[b] = held;
  }

  #siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!isBefore(this.#at(index), this.#at(parent))) {
        return;
      }
      this.#swap(index, parent);
      index = parent;
    }
  }

  #removeFirst(): void {
    const last = this.#heap.pop() as ScheduledEvent;
    if (this.#heap.length > 0) {
      this.#heap[0] = last;
      this.#siftDown();
    }
  }

  #siftDown(): void {
    let index = 0;
    for (;;) {
      const child = this.#findSmallerChild(index);
      if (child === undefined || !isBefore(this.#at(child), this.#at(index))) {
        return;
      }
      this.#swap(index, child);
      index = child;
    }
  }

  #findSmallerChild(index: number): number | undefined {
    const left = index * 2 + 1;
    const right = left + 1;
    if (left >= this.#heap.length) {
      return undefined;
    }
    return right < this.#heap.length && isBefore(this.#at(right), this.#at(left)) ? right : left;
  }
}

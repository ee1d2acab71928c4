/** Continuous batching: a queue by priority, and steps that give each running stream a token. */
import { HIGHEST_PRIORITY } from './constants.js';
import type { EngineSizes } from './engineTypes.js';
import type { StreamRun } from './streamRun.js';

/** Called when a run leaves the batch because it finished or died. */
export type RunEndListener = (run: StreamRun) => void;

/** Looks a prompt up in the prefix cache; returns the tokens that need no reading. */
export type UseCache = (run: StreamRun) => number;

const getPriority = (run: StreamRun): number =>
  Math.min(HIGHEST_PRIORITY, Math.max(0, run.request.priority ?? 0));

/** The running and waiting streams of one engine. */
export class Batch {
  #sizes: EngineSizes;

  readonly #useCache: UseCache;

  readonly #onEnd: RunEndListener;

  readonly #running = new Set<StreamRun>();

  /** By falling priority, then in order of arrival. */
  readonly #queue: StreamRun[] = [];

  #kvUsedTokens = 0;

  #nextStepAtMs = 0;

  /** Prompts are read one after the other; when the last one admitted will have been. */
  #prefillFreeAtMs = 0;

  #timer: ReturnType<typeof setTimeout> | undefined;

  #isTicking = false;

  /** A listener changed the batch while a tick was handing out tokens. */
  #hasChanged = false;

  constructor(sizes: EngineSizes, useCache: UseCache, onEnd: RunEndListener) {
    this.#sizes = sizes;
    this.#useCache = useCache;
    this.#onEnd = onEnd;
  }

  get runningCount(): number {
    return this.#running.size;
  }

  get queuedCount(): number {
    return this.#queue.length;
  }

  get kvUsedPct(): number {
    return Math.min(100, (100 * this.#kvUsedTokens) / this.#sizes.kvTokens);
  }

  get isFull(): boolean {
    return (
      this.#queue.length >= this.#sizes.maxQueued &&
      (this.#running.size >= this.#sizes.maxRunning || this.#queue.length > 0)
    );
  }

  setSizes(sizes: EngineSizes): void {
    this.#sizes = sizes;
    this.#tick();
  }

  add(run: StreamRun): void {
    const priority = getPriority(run);
    const index = this.#queue.findIndex((other) => getPriority(other) < priority);
    this.#queue.splice(index < 0 ? this.#queue.length : index, 0, run);
    this.#tick();
  }

  /** Takes a run out that was cancelled. */
  remove(run: StreamRun): void {
    const index = this.#queue.indexOf(run);
    if (index >= 0) {
      this.#queue.splice(index, 1);
    } else {
      this.#release(run);
    }
    this.#tick();
  }

  /** Takes all runs out. */
  clear(): readonly StreamRun[] {
    const runs = [...this.#running, ...this.#queue.splice(0)];
    this.#running.clear();
    this.#kvUsedTokens = 0;
    this.#prefillFreeAtMs = 0;
    clearTimeout(this.#timer);
    this.#timer = undefined;
    return runs;
  }

  /** Runs the steps that are due, hands out their tokens and sets the next timer. */
  #tick(): void {
    if (this.#isTicking) {
      this.#hasChanged = true;
      return;
    }
    this.#isTicking = true;
    this.#hasChanged = false;
    const nowMs = performance.now();
    this.#admit(nowMs);
    const ended: StreamRun[] = [];
    while (this.#running.size > 0 && this.#nextStepAtMs <= nowMs) {
      this.#step(ended);
      this.#admit(nowMs);
    }
    [...this.#running].forEach((run) => run.flush());
    ended.forEach((run) => run.flush());
    this.#isTicking = false;
    this.#schedule(nowMs);
  }

  #schedule(nowMs: number): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#running.size > 0 || this.#hasChanged) {
      const stepInMs = Math.max(0, Math.ceil(this.#nextStepAtMs - nowMs));
      const delayMs = this.#hasChanged ? 0 : stepInMs;
      this.#timer = setTimeout(() => this.#tick(), delayMs);
    }
  }

  #admit(nowMs: number): void {
    for (let [run] = this.#queue; run && this.#hasRoom(run); [run] = this.#queue) {
      this.#queue.shift();
      if (this.#running.size === 0) {
        this.#nextStepAtMs = Math.max(this.#nextStepAtMs, nowMs + this.#sizes.tokenMs);
      }
      this.#running.add(run);
      this.#kvUsedTokens += run.kvTokens;
      this.#prefill(run, nowMs);
    }
  }

  #hasRoom(run: StreamRun): boolean {
    if (this.#running.size === 0) {
      return true;
    }
    return (
      this.#running.size < this.#sizes.maxRunning &&
      this.#kvUsedTokens + run.kvTokens <= this.#sizes.kvTokens
    );
  }

  #prefill(run: StreamRun, nowMs: number): void {
    const cachedTokens = this.#useCache(run);
    const unreadTokens = run.promptTokens - cachedTokens;
    const startMs = Math.max(nowMs, this.#prefillFreeAtMs);
    this.#prefillFreeAtMs = startMs + unreadTokens * this.#sizes.prefillMsPerToken;
    run.admit(cachedTokens, this.#prefillFreeAtMs);
  }

  #getStepMs(): number {
    return this.#sizes.tokenMs + this.#sizes.tokenMsPerRunning * (this.#running.size - 1);
  }

  #step(ended: StreamRun[]): void {
    let firstReadyAtMs = Infinity;
    this.#running.forEach((run) => {
      firstReadyAtMs = Math.min(firstReadyAtMs, run.readyAtMs);
      if (run.readyAtMs <= this.#nextStepAtMs && run.step()) {
        this.#onEnd(run);
        this.#release(run);
        ended.push(run);
      }
    });
    if (this.#running.size > 0) {
      this.#nextStepAtMs = Math.max(this.#nextStepAtMs, firstReadyAtMs) + this.#getStepMs();
    }
  }

  #release(run: StreamRun): void {
    if (this.#running.delete(run)) {
      this.#kvUsedTokens -= run.kvTokens;
    }
  }
}

/** An engine's load as its callers see it: published at fixed intervals, so some time old. */
import type { EngineLoad } from './engineTypes.js';

/** Reads the load at this moment. */
export type ReadLoad = () => Omit<EngineLoad, 'atMs'>;

/**
 * The published load. It needs no timer: as it is refreshed before each change, the load at a
 * past time of publishing is the load now.
 */
export class EngineLoadReport {
  readonly #readLoad: ReadLoad;

  #periodMs: number;

  #published: EngineLoad;

  constructor(periodMs: number, readLoad: ReadLoad) {
    this.#periodMs = periodMs;
    this.#readLoad = readLoad;
    this.#published = { ...readLoad(), atMs: Date.now() };
  }

  setPeriod(periodMs: number): void {
    this.#periodMs = periodMs;
  }

  /** To be called before each change of the load. */
  refresh(): void {
    const elapsedMs = Date.now() - this.#published.atMs;
    if (elapsedMs < this.#periodMs) {
      return;
    }
    const periods = this.#periodMs > 0 ? Math.floor(elapsedMs / this.#periodMs) : 0;
    const atMs = this.#periodMs > 0 ? this.#published.atMs + periods * this.#periodMs : Date.now();
    this.#published = { ...this.#readLoad(), atMs };
  }

  /** The load as last published. */
  get(): EngineLoad {
    this.refresh();
    return this.#published;
  }
}

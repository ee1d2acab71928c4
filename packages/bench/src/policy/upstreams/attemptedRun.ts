/** A request on its way through attempts at engines. */
import type { SimulatedRequest } from './types.js';

/** One admitted request. */
export class AttemptedRun {
  readonly request: SimulatedRequest;

  readonly admittedAtMs: number;

  #engines: number[] = [];

  #firstTokenMs: number | undefined;

  constructor(request: SimulatedRequest, admittedAtMs: number) {
    this.request = request;
    this.admittedAtMs = admittedAtMs;
  }

  /** Engines that it was sent to. */
  get engines(): readonly number[] {
    return this.#engines;
  }

  get firstTokenMs(): number | undefined {
    return this.#firstTokenMs;
  }

  recordAttempt(engineIndex: number): void {
    this.#engines.push(engineIndex);
  }

  recordFirstToken(nowMs: number): void {
    this.#firstTokenMs ??= nowMs - this.request.arrivedAtMs;
  }
}

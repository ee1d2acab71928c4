/** A model of the engines of one version: so many slots, first come first served. */
import type { VersionModel } from '../world/versions.js';

/** How one answer went. */
export interface EngineRun {
  readonly firstTokenAtMs: number;
  readonly finishedAtMs: number;
}

/** Weight of the newest observation in the estimate of the time to the first token. */
const ESTIMATE_GAIN = 0.05;

/** Runs answers; keeps the estimate that daemons have of the time to the first token. */
export class EnginePool {
  readonly #version: VersionModel;

  readonly #freeAtMs: number[];

  #firstTokenEstimateMs: number;

  constructor(version: VersionModel) {
    this.#version = version;
    this.#freeAtMs = new Array<number>(version.slots).fill(0);
    this.#firstTokenEstimateMs = version.firstTokenMs;
  }

  get firstTokenEstimateMs(): number {
    return this.#firstTokenEstimateMs;
  }

  /** Takes the first free slot. Calls must come in order of time. */
  run(nowMs: number, promptTokens: number, completionTokens: number): EngineRun {
    const slot = this.#findFirstFreeSlot();
    const startedAtMs = Math.max(nowMs, this.#freeAtMs[slot] ?? 0);
    const prefillMs = this.#version.firstTokenMs + promptTokens * this.#version.prefillMsPerToken;
    const firstTokenAtMs = startedAtMs + prefillMs;
    const finishedAtMs = firstTokenAtMs + completionTokens * this.#version.msPerToken;
    this.#freeAtMs[slot] = finishedAtMs;
    return { firstTokenAtMs, finishedAtMs };
  }

  /** Learns from an answer once its first token has come. */
  observe(firstTokenMs: number): void {
    this.#firstTokenEstimateMs += ESTIMATE_GAIN * (firstTokenMs - this.#firstTokenEstimateMs);
  }

  #findFirstFreeSlot(): number {
    let best = 0;
    for (let slot = 1; slot < this.#freeAtMs.length; slot += 1) {
      if ((this.#freeAtMs[slot] ?? 0) < (this.#freeAtMs[best] ?? 0)) {
        best = slot;
      }
    }
    return best;
  }
}

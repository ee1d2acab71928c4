/** Core of the weight store: sizes of versions' weights, limited in rate. */
import { createRandom, type Random } from '@snipehaven/common';
import {
  DEFAULT_WEIGHT_READS_PER_SECOND,
  DEFAULT_WEIGHTS_SIZE_BYTES,
  LOCAL_CLIENT,
} from './constants.js';
import { FaultGate, type GateTruth } from './faultGate.js';
import { TokenBucket } from './tokenBucket.js';

export interface WeightStoreOptions {
  readonly readsPerSecond?: number | undefined;
  readonly burst?: number | undefined;
  /** Sizes of versions' weights; others have a default size. */
  readonly sizeBytes?: Readonly<Record<string, number>> | undefined;
  readonly random?: Random | undefined;
}

export interface WeightStoreTruth {
  readonly gate: GateTruth;
  /** How often each version's weights were fetched. */
  readonly fetches: Readonly<Record<string, number>>;
}

/** The weight store, usable in-process; fetches pass the fault gate. */
export class WeightStoreCore {
  readonly gate: FaultGate;

  readonly #limit: TokenBucket;

  readonly #sizeBytes: Readonly<Record<string, number>>;

  readonly #fetches = new Map<string, number>();

  constructor(options: WeightStoreOptions = {}) {
    const readsPerSecond = options.readsPerSecond ?? DEFAULT_WEIGHT_READS_PER_SECOND;
    this.gate = new FaultGate(options.random ?? createRandom(1));
    this.#limit = new TokenBucket(readsPerSecond, options.burst ?? Math.max(1, readsPerSecond));
    this.#sizeBytes = options.sizeBytes ?? {};
  }

  /** The size of a version's weights in bytes; over the rate throws a `RateLimitedError`. */
  fetch(version: string, client: string = LOCAL_CLIENT): Promise<number> {
    return this.gate.run(client, () => {
      this.#limit.take(1);
      this.#fetches.set(version, (this.#fetches.get(version) ?? 0) + 1);
      return this.#sizeBytes[version] ?? DEFAULT_WEIGHTS_SIZE_BYTES;
    });
  }

  setRate(readsPerSecond: number): void {
    this.#limit.setRate(readsPerSecond, Math.max(1, readsPerSecond));
  }

  getTruth(): WeightStoreTruth {
    return { gate: this.gate.getTruth(), fetches: Object.fromEntries(this.#fetches) };
  }
}

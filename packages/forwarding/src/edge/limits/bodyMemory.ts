/**
 * Bounds the memory of all request bodies, those being received and those of requests that run. Large bodies
 * have memory of their own, so that they take none from small ones. When it is used up, the largest body that
 * is still being received is given up.
 */
import { SMALL_BODY_BYTES } from './constants.js';
import type { CallerLimits } from './types.js';

type BodySize = 'small' | 'large';

const getSize = (bytes: number): BodySize => (bytes > SMALL_BODY_BYTES ? 'large' : 'small');

export class HeldBody {
  readonly #memory: BodyMemory;

  readonly #onGivenUp: () => void;

  #bytes = 0;

  #isComplete = false;

  constructor(memory: BodyMemory, onGivenUp: () => void) {
    this.#memory = memory;
    this.#onGivenUp = onGivenUp;
  }

  get bytes(): number {
    return this.#bytes;
  }

  get isComplete(): boolean {
    return this.#isComplete;
  }

  /** May give up this body or another one. */
  grow(bytes: number): void {
    const before = this.#bytes;
    this.#bytes += bytes;
    this.#memory.resize(this, before);
  }

  /** It stays until it is released, and is not given up any more. */
  complete(): void {
    this.#isComplete = true;
  }

  release(): void {
    const before = this.#bytes;
    this.#bytes = 0;
    this.#memory.resize(this, before);
  }

  giveUp(): void {
    this.release();
    this.#onGivenUp();
  }
}

interface Pool {
  heldBytes: number;
  readonly bodies: Set<HeldBody>;
}

const createPool = (): Pool => ({ heldBytes: 0, bodies: new Set() });

export class BodyMemory {
  readonly #pools: Readonly<Record<BodySize, Pool>> = { small: createPool(), large: createPool() };

  readonly #maxBytes: Readonly<Record<BodySize, number>>;

  /** The largest body that the configuration allows; one of them always fits. */
  maxBodyBytes = 0;

  constructor({ maxSmallBodyBytes, maxLargeBodyBytes }: CallerLimits) {
    this.#maxBytes = { small: maxSmallBodyBytes, large: maxLargeBodyBytes };
  }

  get heldBytes(): number {
    return this.#pools.small.heldBytes + this.#pools.large.heldBytes;
  }

  /** `onGivenUp`: its bytes must be dropped. */
  open(onGivenUp: () => void): HeldBody {
    return new HeldBody(this, onGivenUp);
  }

  /** Called when the body has grown or shrunk from `beforeBytes`. */
  resize(body: HeldBody, beforeBytes: number): void {
    const before = this.#pools[getSize(beforeBytes)];
    before.heldBytes -= beforeBytes;
    before.bodies.delete(body);
    if (body.bytes === 0) {
      return;
    }
    const size = getSize(body.bytes);
    const pool = this.#pools[size];
    pool.heldBytes += body.bytes;
    pool.bodies.add(body);
    while (pool.heldBytes > Math.max(this.#maxBytes[size], this.maxBodyBytes)) {
      const largest = BodyMemory.#findLargestIncomplete(pool);
      if (largest === undefined) {
        return;
      }
      largest.giveUp();
    }
  }

  static #findLargestIncomplete({ bodies }: Pool): HeldBody | undefined {
    let largest: HeldBody | undefined;
    for (const body of bodies) {
      if (!body.isComplete && body.bytes > (largest?.bytes ?? 0)) {
        largest = body;
      }
    }
    return largest;
  }
}

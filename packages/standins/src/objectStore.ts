/** Core of the object store: named bytes, replaced atomically. */
import { createRandom, type Random } from '@snipehaven/common';
import { LOCAL_CLIENT } from './constants.js';
import { FaultGate, type GateTruth } from './faultGate.js';

export interface ObjectStoreOptions {
  readonly random?: Random | undefined;
}

export interface ObjectStoreTruth {
  readonly gate: GateTruth;
  readonly puts: number;
  readonly gets: number;
  readonly objectCount: number;
  readonly sizeBytes: number;
}

/** The object store, usable in-process; all calls pass the fault gate. */
export class ObjectStoreCore {
  readonly gate: FaultGate;

  readonly #objects = new Map<string, Uint8Array>();

  #puts = 0;

  #gets = 0;

  constructor(options: ObjectStoreOptions = {}) {
    this.gate = new FaultGate(options.random ?? createRandom(1));
  }

  put(name: string, bytes: Uint8Array, client: string = LOCAL_CLIENT): Promise<void> {
    const copy = bytes.slice();
    return this.gate.run(client, () => {
      this.#puts += 1;
      this.#objects.set(name, copy);
    });
  }

  /** The object's bytes, or undefined where there is none. */
  get(name: string, client: string = LOCAL_CLIENT): Promise<Uint8Array | undefined> {
    return this.gate.run(client, () => {
      this.#gets += 1;
      return this.#objects.get(name)?.slice();
    });
  }

  /** Deletes the object; tells whether there was one. */
  delete(name: string, client: string = LOCAL_CLIENT): Promise<boolean> {
    return this.gate.run(client, () => this.#objects.delete(name));
  }

  /** Names that start with the prefix, in order. */
  list(prefix: string, client: string = LOCAL_CLIENT): Promise<readonly string[]> {
    return this.gate.run(client, () =>
      [...this.#objects.keys()].filter((name) => name.startsWith(prefix)).sort(),
    );
  }

  getTruth(): ObjectStoreTruth {
    const sizes = [...this.#objects.values()].map((bytes) => bytes.length);
    return {
      gate: this.gate.getTruth(),
      puts: this.#puts,
      gets: this.#gets,
      objectCount: this.#objects.size,
      sizeBytes: sizes.reduce((sum, size) => sum + size, 0),
    };
  }
}

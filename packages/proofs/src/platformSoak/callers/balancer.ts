/** The platform's balancer: VMs that miss two questions in a row get no new connections. */
import { pickRandom, type Random } from '@snipehaven/common';
import { BALANCER_MISSES, BALANCER_PERIOD_MS } from '../constants.js';
import type { Fleet } from '../fleet.js';
import type { VmState } from '../types.js';

export class Balancer {
  readonly #fleet: Fleet;

  readonly #misses = new Map<string, number>();

  readonly #timer: NodeJS.Timeout;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    this.#timer = setInterval(() => this.#askAll(), BALANCER_PERIOD_MS);
  }

  /** With none in rotation all are used. */
  pick(random: Random): VmState {
    const { vms } = this.#fleet;
    const rotation = vms.filter(({ name }) => (this.#misses.get(name) ?? 0) < BALANCER_MISSES);
    return pickRandom(rotation.length > 0 ? rotation : vms, random) as VmState;
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #askAll(): void {
    this.#fleet.vms.forEach((vm) => {
      void this.#ask(vm);
    });
  }

  async #ask(vm: VmState): Promise<void> {
    const isReady = await this.#fleet.isReady(vm);
    this.#misses.set(vm.name, isReady ? 0 : (this.#misses.get(vm.name) ?? 0) + 1);
  }
}

/** Core of the platform's list of VMs, which lags behind what is. */
import { createRandom, type Random } from '@snipehaven/common';
import { DEFAULT_VM_LIST_LAG_MS, LOCAL_CLIENT } from './constants.js';
import { FaultGate, type GateTruth } from './faultGate.js';

export type VmRole = 'entry' | 'upstream';
export type VmState = 'live' | 'leaving';

export interface Vm {
  readonly name: string;
  readonly role: VmRole;
  readonly dataCentre: string;
  readonly address: string;
  readonly state: VmState;
}

export interface VmListOptions {
  readonly vms?: readonly Vm[] | undefined;
  readonly lagMs?: number | undefined;
  readonly random?: Random | undefined;
}

export interface VmListTruth {
  readonly gate: GateTruth;
  readonly lagMs: number;
  /** The VMs as they are now. */
  readonly vms: readonly Vm[];
}

interface Snapshot {
  readonly atMs: number;
  readonly vms: readonly Vm[];
}

/** The list, usable in-process; `list` passes the fault gate. */
export class VmListCore {
  readonly gate: FaultGate;

  #lagMs: number;

  /** The present list is the last; the first is the one that callers see. */
  readonly #snapshots: Snapshot[];

  constructor(options: VmListOptions = {}) {
    this.gate = new FaultGate(options.random ?? createRandom(1));
    this.#lagMs = options.lagMs ?? DEFAULT_VM_LIST_LAG_MS;
    this.#snapshots = [{ atMs: -Infinity, vms: options.vms ?? [] }];
  }

  /** The VMs as they were `lagMs` ago. */
  list(client: string = LOCAL_CLIENT): Promise<readonly Vm[]> {
    return this.gate.run(client, () => {
      this.#dropPast();
      return this.#snapshots[0]?.vms ?? [];
    });
  }

  /** The VMs as they are. */
  getVms(): readonly Vm[] {
    return this.#snapshots.at(-1)?.vms ?? [];
  }

  setVms(vms: readonly Vm[]): void {
    this.#dropPast();
    this.#snapshots.push({ atMs: Date.now(), vms });
  }

  /** Adds a VM or replaces the one of its name. */
  putVm(vm: Vm): void {
    this.setVms([...this.getVms().filter(({ name }) => name !== vm.name), vm]);
  }

  removeVm(name: string): void {
    this.setVms(this.getVms().filter((vm) => vm.name !== name));
  }

  setLag(lagMs: number): void {
    this.#lagMs = lagMs;
  }

  getTruth(): VmListTruth {
    return { gate: this.gate.getTruth(), lagMs: this.#lagMs, vms: this.getVms() };
  }

  #dropPast(): void {
    const seenAtMs = Date.now() - this.#lagMs;
    while ((this.#snapshots[1]?.atMs ?? Infinity) <= seenAtMs) {
      this.#snapshots.shift();
    }
  }
}

/** The daemons under test: real processes, one a VM, each with a path of its own to the store. */
import { execFile } from 'node:child_process';
import { appendFileSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { sleep } from '@snipehaven/common';
import { ManagedProcess } from '@snipehaven/demo';
import { renderSettings, startSilentForwarder, type SilentForwarder } from '@snipehaven/standins';
import { request } from 'undici';
import { waitUntil } from '../soak/watch/repeat.js';
import { DATA_CENTRES, GRACE_S, READY_TIMEOUT_MS, RESTART_MS } from './constants.js';
import type { VmState } from './types.js';

const CALLER_PORT = 8_080;
const READINESS_PORT = 8_081;
const PEER_PORT = 8_082;
const READY_POLL_MS = 50;

/** VMs that the settings of all name, up or down. */
const SEEDS = 3;
const READY_ASK_TIMEOUT_MS = 900;

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../../../..');

/** As in the deploy file. */
const RUNTIME_OPTIONS = ['--max-old-space-size=220'];

/** All that the platform passes on. Others lengthen the start, as `NODE_EXTRA_CA_CERTS` does. */
const INHERITED_VARIABLES = ['PATH', 'HOME', 'JAVA_HOME', 'LANG'];

/** Runs in each daemon, so that a signal steps its time of day. */
const CLOCK_SCRIPT = fileURLToPath(new URL('stepClock.js', import.meta.url));

/** Runs in each daemon, so that a signal cuts it off from all upstreams. */
const PATHS_SCRIPT = fileURLToPath(new URL('losePaths.js', import.meta.url));

export class Fleet {
  readonly vms: readonly VmState[];

  readonly #folder: string;

  /** To the store, by VM. */
  readonly #paths = new Map<string, SilentForwarder>();

  /** Exits that nobody asked for. */
  readonly unexpectedExits: string[] = [];

  /** `network`: the first two bytes of the VMs' addresses, apart from other runs. */
  constructor(folder: string, network: string, vmsPerDataCentre: number) {
    this.#folder = folder;
    this.vms = DATA_CENTRES.flatMap((dataCentre, place) =>
      Array.from({ length: vmsPerDataCentre }, (_, index) => {
        const name = `vm-${dataCentre}-${index + 1}`;
        const settingsFile = join(folder, `${name}.toml`);
        const address = `${network}.${place + 1}.${index + 1}`;
        return { name, dataCentre, address, settingsFile, process: undefined, isEnding: false };
      }),
    );
  }

  get #program(): string {
    return join(this.#folder, 'program');
  }

  get #startFile(): string {
    return join(this.#program, 'snipehavend.cjs');
  }

  /** Builds the program as it is deployed, and starts it on each VM. */
  async start(storeAddress: string): Promise<void> {
    await promisify(execFile)('npm', ['run', '-s', 'bundle', '--', this.#program], { cwd: ROOT });
    // After the daemon's own statements: a preloaded script would delay its signal handlers.
    [PATHS_SCRIPT, CLOCK_SCRIPT].forEach((script) =>
      appendFileSync(this.#startFile, `require(${JSON.stringify(script)});\n`),
    );
    const [targetAddress = '', port] = storeAddress.split(':');
    for (const vm of this.vms) {
      const path = await startSilentForwarder({ targetAddress, targetPort: Number(port) });
      this.#paths.set(vm.name, path);
      this.writeSettings(vm, GRACE_S);
      this.spawn(vm);
    }
    await Promise.all(this.vms.map((vm) => this.waitReady(vm)));
  }

  /** The VM's path to the store. */
  getStorePath(vm: VmState): SilentForwarder {
    const path = this.#paths.get(vm.name);
    if (path === undefined) {
      throw new Error(`${vm.name} has no path to the store`);
    }
    return path;
  }

  writeSettings(vm: VmState, graceS: number): void {
    const path = this.getStorePath(vm);
    const text = renderSettings({
      name: vm.name,
      address: vm.address,
      dataCentre: vm.dataCentre,
      callerPort: CALLER_PORT,
      readinessPort: READINESS_PORT,
      peerPort: PEER_PORT,
      graceS,
      store: `${path.address}:${path.port}`,
      seeds: this.vms.slice(0, SEEDS).map(({ address }) => `${address}:${PEER_PORT}`),
    });
    writeFileSync(vm.settingsFile, text);
  }

  spawn(vm: VmState): void {
    const child = new ManagedProcess({
      name: vm.name,
      script: this.#startFile,
      args: [],
      nodeArgs: RUNTIME_OPTIONS,
      env: { SNIPEHAVEN_SETTINGS: vm.settingsFile },
      inheritedVariables: INHERITED_VARIABLES,
      logFile: join(this.#folder, `${vm.name}.log`),
    });
    Object.assign(vm, { process: child, isEnding: false });
    void this.#watch(vm, child);
  }

  /** Ends the process by the signal and starts it again, as the platform does. */
  async restart(vm: VmState, signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    await this.#end(vm, signal);
    await sleep(RESTART_MS);
    this.spawn(vm);
  }

  async isReady(vm: VmState): Promise<boolean> {
    try {
      const answer = await request(`http://${vm.address}:${READINESS_PORT}/ready`, {
        signal: AbortSignal.timeout(READY_ASK_TIMEOUT_MS),
        reset: true,
      });
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      // No answer is a miss, as for the balancer.
      return false;
    }
  }

  async waitReady(vm: VmState): Promise<void> {
    if (!(await waitUntil(() => this.isReady(vm), READY_TIMEOUT_MS, READY_POLL_MS))) {
      throw new Error(`${vm.name} is not ready after ${READY_TIMEOUT_MS} ms`);
    }
  }

  async stop(): Promise<void> {
    await Promise.all(this.vms.map((vm) => this.#end(vm, 'SIGKILL')));
    await Promise.all([...this.#paths.values()].map((path) => path.stop()));
  }

  static getCallerAddress(vm: VmState): { host: string; port: number } {
    return { host: vm.address, port: CALLER_PORT };
  }

  /** A process that outlives its grace period is killed. */
  async #end(vm: VmState, signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    const child = vm.process;
    if (child === undefined) {
      return;
    }
    Object.assign(vm, { isEnding: true });
    child.signal(signal);
    const timer = setTimeout(() => child.signal('SIGKILL'), GRACE_S * 1_000);
    await child.waitForExit();
    clearTimeout(timer);
  }

  async #watch(vm: VmState, child: ManagedProcess): Promise<void> {
    child.firstLine.catch(() => {
      // The exit below tells it.
    });
    const startedAtMs = performance.now();
    const { code, signal } = await child.waitForExit();
    if (Fleet.#isOnDuty(vm, child)) {
      const uptimeMs = Math.round(performance.now() - startedAtMs);
      this.unexpectedExits.push(
        `${vm.name}: code ${code}, signal ${signal}, ran for ${uptimeMs} ms`,
      );
      await this.#startAgain(vm, child);
    }
  }

  /** As the platform does; a fault or the end of the run may come first. */
  async #startAgain(vm: VmState, child: ManagedProcess): Promise<void> {
    await sleep(RESTART_MS);
    if (Fleet.#isOnDuty(vm, child)) {
      this.spawn(vm);
    }
  }

  /** Whether it is the VM's process, which nobody asked to end. */
  static #isOnDuty(vm: VmState, child: ManagedProcess): boolean {
    return vm.process === child && !vm.isEnding;
  }
}

/** Stand-ins and daemons as processes of their own, on loopback. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { join } from 'node:path';
import { request } from 'undici';
import type { StandinAddresses, StandinsOptions } from '@snipehaven/standins';
import { daemonEnvironment, toDaemonSettings } from './daemonSettings.js';
import {
  CALLERS_PORT,
  getNetwork,
  getStandinsAddress,
  listEntryVms,
  OPERATORS_PORT,
  PEERS_PORT,
  type EntryVm,
} from './layout.js';
import { ManagedProcess } from './managedProcess.js';

const require = createRequire(import.meta.url);

/** Scripts of the processes, found by their packages. */
const scripts = {
  daemon: require.resolve('@snipehaven/daemon').replace(/index\.js$/, 'snipehavend.js'),
  standins: require.resolve('@snipehaven/standins').replace(/index\.js$/, 'main.js'),
} as const;

export interface DeploymentOptions {
  /** Folder for settings and logs. */
  readonly folder: string;
  readonly dataCentres: readonly string[];
  readonly daemonsPerDataCentre: number;
  /** Stand-ins; where they listen is filled in here. */
  readonly standins: StandinsOptions;
  readonly logLevel?: string;
  readonly balancerDelayMs?: number;
  /** Options of Node for the daemons, such as `--cpu-prof`. */
  readonly daemonNodeArgs?: readonly string[];
  /** Settings text appended for each daemon, for experiments. */
  readonly extraSettings?: string;
  /** Further environment of a daemon's process, read at each start. */
  readonly getDaemonEnvironment?: (vm: EntryVm) => Readonly<Record<string, string>>;
}

export interface RunningDaemon {
  readonly vm: EntryVm;
  readonly callersUrl: string;
  readonly operatorsUrl: string;
  process: ManagedProcess;
}

const READY_POLL_MS = 100;
const READY_TIMEOUT_MS = 30_000;
const STOP_GRACE_MS = 30_000;

const wait = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

const isReady = async (operatorsUrl: string): Promise<boolean> => {
  try {
    const answer = await request(`${operatorsUrl}/readyz`, { headersTimeout: 1_000 });
    await answer.body.dump();
    return answer.statusCode === 200;
  } catch {
    return false;
  }
};

export class Deployment {
  readonly network = getNetwork(process.pid);

  readonly daemons: RunningDaemon[] = [];

  readonly #options: DeploymentOptions;

  readonly #vms: readonly EntryVm[];

  #standins: ManagedProcess | undefined;

  #addresses: StandinAddresses = { engines: [], services: [] };

  constructor(options: DeploymentOptions) {
    this.#options = options;
    this.#vms = listEntryVms(this.network, options.dataCentres, options.daemonsPerDataCentre);
    mkdirSync(options.folder, { recursive: true });
  }

  get addresses(): StandinAddresses {
    return this.#addresses;
  }

  get vms(): readonly EntryVm[] {
    return this.#vms;
  }

  /** Starts the stand-ins, then the daemons; resolves when the daemons listen. */
  async start(): Promise<void> {
    await this.startStandins();
    await this.startDaemons();
  }

  /** Starts the daemons; the stand-ins run already. */
  async startDaemons(): Promise<void> {
    this.daemons.push(...this.#vms.map((vm) => this.#spawnDaemon(vm)));
    await Promise.all(this.daemons.map((daemon) => daemon.process.firstLine));
  }

  async startStandins(): Promise<StandinAddresses> {
    const file = join(this.#options.folder, 'standins.json');
    writeFileSync(file, JSON.stringify(this.#placeStandins()));
    this.#standins = new ManagedProcess({
      name: 'standins',
      script: scripts.standins,
      args: ['--config', file],
      logFile: join(this.#options.folder, 'standins.log'),
    });
    this.#addresses = JSON.parse(await this.#standins.firstLine) as StandinAddresses;
    return this.#addresses;
  }

  /** Resolves when the daemon reports ready. */
  async waitUntilReady(daemon: RunningDaemon): Promise<void> {
    const giveUpAtMs = Date.now() + READY_TIMEOUT_MS;
    while (!(await isReady(daemon.operatorsUrl))) {
      if (Date.now() > giveUpAtMs) {
        throw new Error(`${daemon.vm.name} is not ready after ${READY_TIMEOUT_MS} ms`);
      }
      await wait(READY_POLL_MS);
    }
  }

  async waitUntilAllReady(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => this.waitUntilReady(daemon)));
  }

  /** Starts a new process on the VM of a daemon that has ended. */
  async replaceDaemon(daemon: RunningDaemon): Promise<void> {
    const replaced = daemon;
    await daemon.process.waitForExit();
    replaced.process = this.#spawnDaemon(daemon.vm).process;
    await replaced.process.firstLine;
  }

  /** Shuts the daemons down gracefully. */
  async stopDaemons(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.process.stop(STOP_GRACE_MS)));
  }

  /** Stops everything that this deployment started. */
  async stop(): Promise<void> {
    await this.stopDaemons();
    await this.#standins?.stop(STOP_GRACE_MS);
  }

  #placeStandins(): StandinsOptions {
    const address = getStandinsAddress(this.network);
    const { standins } = this.#options;
    const listen = { address };
    const platform = standins.platform === false ? undefined : standins.platform;
    return {
      ...standins,
      platform: { ...platform, listen },
      engines: (standins.engines ?? []).map((engine) => ({ listen, ...engine })),
      services: (standins.services ?? []).map((service) => ({ listen, ...service })),
    };
  }

  #spawnDaemon(vm: EntryVm): RunningDaemon {
    const file = join(this.#options.folder, `${vm.name}.toml`);
    const seeds = this.#vms
      .filter((other) => other.name !== vm.name)
      .map((other) => `${other.address}:${PEERS_PORT}`);
    const settings = toDaemonSettings({
      vm,
      seeds,
      standins: this.#addresses,
      logLevel: this.#options.logLevel ?? 'info',
      balancerDelayMs: this.#options.balancerDelayMs ?? 500,
    });
    writeFileSync(file, `${settings}${this.#options.extraSettings ?? ''}`);
    return {
      vm,
      callersUrl: `http://${vm.address}:${CALLERS_PORT}`,
      operatorsUrl: `http://${vm.address}:${OPERATORS_PORT}`,
      process: new ManagedProcess({
        name: vm.name,
        script: scripts.daemon,
        nodeArgs: this.#options.daemonNodeArgs ?? [],
        args: ['-c', file],
        env: { ...daemonEnvironment, ...this.#options.getDaemonEnvironment?.(vm) },
        logFile: join(this.#options.folder, `${vm.name}.log`),
      }),
    };
  }
}

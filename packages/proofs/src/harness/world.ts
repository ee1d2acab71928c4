/** Several daemons in one process, real code over fakes at the interfaces, on a virtual clock. */
import {
  asId,
  createRandom,
  createSilentLogger,
  type IncarnationId,
  type Logger,
  type Random,
} from '@snipehaven/common';
import { DaemonCore, type DaemonCoreOptions } from '@snipehaven/daemon';
import { TableLedgerReader } from '@snipehaven/ledger';
import type { UsageEntry } from '@snipehaven/protocol';
import {
  EngineCore,
  ObjectStoreCore,
  RaterCore,
  ServiceCore,
  TableCore,
  VmListCore,
} from '@snipehaven/standins';
import { createPlatformClients, type PlatformCores } from './fakePlatform.js';
import { createFakeServices, FakeEngines } from './fakeEngines.js';
import { LocalTransport } from './localTransport.js';
import { Network, PLATFORM } from './network.js';
import { VirtualClock } from './virtualClock.js';

/** One entry VM of the world, with the daemon that runs there now. */
export interface WorldVm {
  readonly name: string;
  readonly dataCentre: string;
  readonly address: string;
  /** Raised with each new process. */
  life: number;
  core: DaemonCore | undefined;
  engines: FakeEngines | undefined;
}

export interface WorldOptions {
  readonly seed: number;
  readonly dataCentres: readonly string[];
  readonly daemonsPerDataCentre: number;
  readonly enginesPerDataCentre: number;
  readonly versions: readonly string[];
  /** Replaces parts of the wiring, to show that a proof fails without a mechanism. */
  readonly rewire?: (options: DaemonCoreOptions) => DaemonCoreOptions;
  /** How long a shutdown waits for requests in progress. */
  readonly stopDeadlineMs?: number;
  readonly logger?: Logger;
}

const PEERS_PORT = 7_000;
const SESSION_SECRET = 'harness-session-secret';
const TOKEN_MS = 8;
/** Longer than any request may take, as in the daemon's settings. */
const STOP_DEADLINE_MS = 60_000;

const settings: DaemonCoreOptions['settings'] = {
  seeds: [],
  probeIntervalMs: 1_000,
  routing: {
    firstByteTimeoutMs: 1_500,
    betweenChunksTimeoutMs: 800,
    defaultDeadlineMs: 30_000,
    ratingTimeoutMs: 500,
  },
  upstreams: { loadIntervalMs: 500, cacheEventsIntervalMs: 2_000, vmListIntervalMs: 1_000 },
  maxQueued: 64,
  session: { currentKey: { id: '1', secret: SESSION_SECRET } },
};

export class World {
  readonly clock = new VirtualClock();

  readonly network = new Network();

  readonly random: Random;

  readonly cores: PlatformCores;

  readonly engines = new Map<string, EngineCore>();

  readonly services = new Map<string, ServiceCore>();

  readonly vms: readonly WorldVm[];

  readonly #options: WorldOptions;

  readonly #logger: Logger;

  constructor(options: WorldOptions) {
    this.#options = options;
    this.#logger = options.logger ?? createSilentLogger();
    this.random = createRandom(options.seed);
    const random = createRandom(options.seed + 1);
    this.cores = {
      table: new TableCore({ random }),
      objectStore: new ObjectStoreCore({ random }),
      vmList: new VmListCore({ lagMs: 3_000, random }),
      rater: new RaterCore({ seed: options.seed, random }),
    };
    this.network.place(PLATFORM, PLATFORM);
    this.vms = options.dataCentres.flatMap((dataCentre, place) =>
      this.#createVms(dataCentre, place),
    );
    options.dataCentres.forEach((dataCentre, place) => this.#createUpstreams(dataCentre, place));
  }

  /** The process on a VM, as the network knows it. */
  static getNode(vm: WorldVm): string {
    return `${vm.name}~${vm.life}`;
  }

  startDaemon(vm: WorldVm): void {
    const started = vm;
    if (vm.core !== undefined) {
      return;
    }
    started.life += 1;
    const node = World.getNode(vm);
    this.network.place(node, vm.dataCentre);
    this.network.rejoin(vm.address);
    started.engines = new FakeEngines(node, this.network, this.engines);
    const options = this.#createOptions(vm, node, started.engines);
    started.core = new DaemonCore(this.#options.rewire?.(options) ?? options);
    started.core.start();
  }

  /** Kills the process: nothing that it still does reaches anyone. */
  killDaemon(vm: WorldVm): void {
    const killed = vm;
    this.network.bury(World.getNode(vm));
    vm.core?.kill();
    killed.core = undefined;
    killed.engines = undefined;
  }

  /** Shuts the process down; resolves when it has ended. */
  async stopDaemon(vm: WorldVm): Promise<void> {
    const stopped = vm;
    const { core } = vm;
    await core?.stop(this.#options.stopDeadlineMs ?? STOP_DEADLINE_MS);
    this.network.bury(World.getNode(vm));
    stopped.core = undefined;
  }

  /** Nothing gets in or out of the process, as while it is frozen. */
  freezeDaemon(vm: WorldVm): void {
    this.network.isolate(World.getNode(vm));
    this.network.isolate(vm.address);
  }

  thawDaemon(vm: WorldVm): void {
    if (vm.core !== undefined) {
      this.network.rejoin(World.getNode(vm));
      this.network.rejoin(vm.address);
    }
  }

  listRunning(): readonly WorldVm[] {
    return this.vms.filter((vm) => vm.core !== undefined);
  }

  /** The folded ledger, read past all faults. */
  async readLedger(): Promise<readonly UsageEntry[]> {
    const { table, objectStore } = createPlatformClients('auditor', this.network, this.cores);
    const entries = new TableLedgerReader({ table, objectStore }).listEntries({});
    let result: readonly UsageEntry[] | undefined;
    entries.then(
      (found) => {
        result = found;
      },
      () => {
        result = [];
      },
    );
    await this.clock.advanceUntil(() => result !== undefined, 60_000);
    return result ?? [];
  }

  dispose(): void {
    this.vms.forEach((vm) => vm.core?.kill());
    this.engines.forEach((engine) => engine.stop());
    this.clock.uninstall();
  }

  #createVms(dataCentre: string, place: number): WorldVm[] {
    return Array.from({ length: this.#options.daemonsPerDataCentre }, (_, index) => {
      const address = `10.${place + 1}.0.${index + 1}:${PEERS_PORT}`;
      this.network.place(address, dataCentre);
      const name = `entry-${dataCentre}-${index + 1}`;
      return { name, dataCentre, address, life: 0, core: undefined, engines: undefined };
    });
  }

  #createUpstreams(dataCentre: string, place: number): void {
    const { enginesPerDataCentre, versions, seed } = this.#options;
    Array.from({ length: enginesPerDataCentre }, (_, index) => index).forEach((index) => {
      const url = `http://10.${place + 1}.1.${index + 1}:8000`;
      this.network.place(url, dataCentre);
      const random = createRandom(seed + 100 * place + index);
      this.engines.set(url, new EngineCore({ versions, tokenMs: TOKEN_MS, random }));
    });
    const url = `http://10.${place + 1}.2.1:8000`;
    this.network.place(url, dataCentre);
    this.services.set(
      url,
      new ServiceCore({ workMs: 5, onceOnlyPaths: ['/filings'], random: createRandom(seed) }),
    );
  }

  #createOptions(vm: WorldVm, node: string, engines: FakeEngines): DaemonCoreOptions {
    const random = createRandom(this.random.nextInt(2 ** 31 - 1));
    const lookUp = (
      address: string,
    ): ReturnType<ConstructorParameters<typeof LocalTransport>[2]> => {
      const peer = this.vms.find((other) => other.address === address);
      return peer?.core && { node: World.getNode(peer), handlers: peer.core.peerHandlers };
    };
    return {
      identity: {
        vm: vm.name,
        dataCentre: vm.dataCentre,
        peerAddress: vm.address,
        incarnation: asId<IncarnationId>(`${vm.name}-${vm.life}`),
      },
      settings: {
        ...settings,
        seeds: this.vms.filter((other) => other !== vm).map((other) => other.address),
      },
      ...createPlatformClients(node, this.network, this.cores),
      engines,
      services: createFakeServices(node, this.network, this.services),
      transport: new LocalTransport(node, this.network, lookUp),
      logger: this.#logger,
      random,
    };
  }
}

/** Starts the stand-ins of one test, demo or bench in this process. */
import { createRandom } from '@snipehaven/common';
import { EngineCore } from './engine.js';
import { startEngineServer } from './engineServer.js';
import type { EngineOptions } from './engineTypes.js';
import type { ListenOptions, StandinServer } from './httpEdge.js';
import { startPlatform, type Platform, type PlatformOptions } from './platformServer.js';
import { ServiceCore, type ServiceOptions } from './service.js';
import { startServiceServer } from './serviceServer.js';

export interface EngineSetup extends EngineOptions {
  readonly name: string;
  readonly listen?: ListenOptions | undefined;
}

export interface ServiceSetup extends ServiceOptions {
  readonly name: string;
  readonly listen?: ListenOptions | undefined;
}

export interface StandinsOptions {
  /** Seeds the faults' random numbers and the hidden quality table. */
  readonly seed?: number | undefined;
  /** Undefined: with its defaults; false: none. */
  readonly platform?: PlatformOptions | false | undefined;
  readonly engines?: readonly EngineSetup[] | undefined;
  readonly services?: readonly ServiceSetup[] | undefined;
}

/** A stand-in that runs: its core for in-process control, and where it listens. */
export interface Handle<Core> {
  readonly name: string;
  readonly url: string;
  readonly core: Core;
  readonly server: StandinServer;
}

export interface Standins {
  readonly platform: Platform | undefined;
  readonly engines: readonly Handle<EngineCore>[];
  readonly services: readonly Handle<ServiceCore>[];
  /** Stops all servers and timers. */
  stop(): Promise<void>;
}

/** Where each stand-in listens, for other processes. */
export interface StandinAddresses {
  readonly tableUrl?: string | undefined;
  readonly objectStoreUrl?: string | undefined;
  readonly vmListUrl?: string | undefined;
  readonly raterUrl?: string | undefined;
  readonly weightStoreUrl?: string | undefined;
  readonly engines: readonly NamedUrl[];
  readonly services: readonly NamedUrl[];
}

export interface NamedUrl {
  readonly name: string;
  readonly url: string;
}

const DEFAULT_SEED = 1;

const startEngine = async (
  { name, listen, ...options }: EngineSetup,
  platform: Platform | undefined,
  seed: number,
): Promise<Handle<EngineCore>> => {
  const fetchWeights = platform
    ? (version: string) => platform.weightStore.core.fetch(version, name)
    : undefined;
  const core = new EngineCore({ fetchWeights, random: createRandom(seed), ...options });
  const server = await startEngineServer(core, listen);
  return { name, url: server.url, core, server };
};

const startService = async (
  { name, listen, ...options }: ServiceSetup,
  seed: number,
): Promise<Handle<ServiceCore>> => {
  const core = new ServiceCore({ random: createRandom(seed), ...options });
  const server = await startServiceServer(core, listen);
  return { name, url: server.url, core, server };
};

const toNamedUrl = ({ name, url }: NamedUrl): NamedUrl => ({ name, url });

/** Lists the addresses of running stand-ins. */
export const getAddresses = ({ platform, engines, services }: Standins): StandinAddresses => ({
  tableUrl: platform?.table.url,
  objectStoreUrl: platform?.objectStore.url,
  vmListUrl: platform?.vmList.url,
  raterUrl: platform?.rater.url,
  weightStoreUrl: platform?.weightStore.url,
  engines: engines.map(toNamedUrl),
  services: services.map(toNamedUrl),
});

/** Starts the platform, engines and services; resolves when all listen. */
export const startStandins = async (options: StandinsOptions = {}): Promise<Standins> => {
  const seed = options.seed ?? DEFAULT_SEED;
  const platform =
    options.platform === false ? undefined : await startPlatform(options.platform ?? {}, seed);
  const engines = await Promise.all(
    (options.engines ?? []).map((setup, index) => startEngine(setup, platform, seed + index + 1)),
  );
  const services = await Promise.all(
    (options.services ?? []).map((setup, index) => startService(setup, seed + index + 1)),
  );
  const stop = async (): Promise<void> => {
    await Promise.all([...engines, ...services].map(({ server }) => server.stop()));
    await platform?.stop();
  };
  return { platform, engines, services, stop };
};

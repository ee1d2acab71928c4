/** The platform in one process: table, object store, VM list, rater and weight store. */
import { createRandom } from '@snipehaven/common';
import type { ListenOptions, StandinServer } from './httpEdge.js';
import { ObjectStoreCore } from './objectStore.js';
import { startObjectStoreServer } from './objectStoreServer.js';
import { RaterCore, type RaterOptions } from './rater.js';
import { startRaterServer } from './raterServer.js';
import { TableCore, type TableOptions } from './table.js';
import { startTableServer } from './tableServer.js';
import { VmListCore, type VmListOptions } from './vmList.js';
import { startVmListServer } from './vmListServer.js';
import { WeightStoreCore, type WeightStoreOptions } from './weightStore.js';
import { startWeightStoreServer } from './weightStoreServer.js';

/** The address of all parts and, where wanted, their ports. */
export interface PlatformListenOptions {
  readonly address?: string | undefined;
  readonly tablePort?: number | undefined;
  readonly objectStorePort?: number | undefined;
  readonly vmListPort?: number | undefined;
  readonly raterPort?: number | undefined;
  readonly weightStorePort?: number | undefined;
}

export interface PlatformOptions {
  readonly listen?: PlatformListenOptions | undefined;
  readonly table?: TableOptions | undefined;
  readonly vmList?: VmListOptions | undefined;
  readonly rater?: RaterOptions | undefined;
  readonly weightStore?: WeightStoreOptions | undefined;
}

/** One part of the platform. */
export interface PlatformPart<Core> {
  readonly core: Core;
  readonly url: string;
  readonly server: StandinServer;
}

export interface Platform {
  readonly table: PlatformPart<TableCore>;
  readonly objectStore: PlatformPart<ObjectStoreCore>;
  readonly vmList: PlatformPart<VmListCore>;
  readonly rater: PlatformPart<RaterCore>;
  readonly weightStore: PlatformPart<WeightStoreCore>;
  stop(): Promise<void>;
}

type StartServer<Core> = (core: Core, options: ListenOptions) => Promise<StandinServer>;

/** Starts the platform's parts; each listens on a port of its own. */
export const startPlatform = async (options: PlatformOptions, seed: number): Promise<Platform> => {
  const listen = options.listen ?? {};
  const { address } = listen;
  const start = async <Core>(
    core: Core,
    startServer: StartServer<Core>,
    port: number | undefined,
  ): Promise<PlatformPart<Core>> => {
    const server = await startServer(core, { address, port });
    return { core, url: server.url, server };
  };
  const random = createRandom(seed);
  const [table, objectStore, vmList, rater, weightStore] = await Promise.all([
    start(new TableCore({ random, ...options.table }), startTableServer, listen.tablePort),
    start(new ObjectStoreCore({ random }), startObjectStoreServer, listen.objectStorePort),
    start(new VmListCore({ random, ...options.vmList }), startVmListServer, listen.vmListPort),
    start(new RaterCore({ random, seed, ...options.rater }), startRaterServer, listen.raterPort),
    start(
      new WeightStoreCore({ random, ...options.weightStore }),
      startWeightStoreServer,
      listen.weightStorePort,
    ),
  ]);
  const parts = [table, objectStore, vmList, rater, weightStore];
  const stop = async (): Promise<void> => {
    await Promise.all(parts.map(({ server }) => server.stop()));
  };
  return { table, objectStore, vmList, rater, weightStore, stop };
};

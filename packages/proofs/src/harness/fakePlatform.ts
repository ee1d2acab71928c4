/** The platform's clients over the stand-ins' cores, as one daemon sees them through the network. */
import {
  PlatformOutcomeUnknownError,
  PlatformRefusedError,
  type ObjectStoreClient,
  type RaterClient,
  type TableClient,
  type VmListClient,
} from '@snipehaven/platform';
import {
  RateLimitedError,
  UnavailableError,
  type ObjectStoreCore,
  type RaterCore,
  type TableCore,
  type VmListCore,
} from '@snipehaven/standins';
import { NetworkLostError, PLATFORM, type Network } from './network.js';

export interface PlatformCores {
  readonly table: TableCore;
  readonly objectStore: ObjectStoreCore;
  readonly vmList: VmListCore;
  readonly rater: RaterCore;
}

export interface PlatformClients {
  readonly table: TableClient;
  readonly objectStore: ObjectStoreClient;
  readonly vmList: VmListClient;
  readonly rater: RaterClient;
}

const CALL_TIMEOUT_MS = 2_000;

const toPlatformError = (error: unknown): Error => {
  if (error instanceof RateLimitedError) {
    const { retryAfterMs } = error;
    return new PlatformRefusedError(error.message, { cause: error, retryAfterMs });
  }
  const isRefused =
    error instanceof UnavailableError || (error instanceof NetworkLostError && !error.hasArrived);
  const message = error instanceof Error ? error.message : String(error);
  return isRefused
    ? new PlatformRefusedError(message, { cause: error })
    : new PlatformOutcomeUnknownError(message, { cause: error });
};

/** Clients for the daemon `node`. A call that does not arrive looks the same as one whose reply is lost. */
export const createPlatformClients = (
  node: string,
  network: Network,
  cores: PlatformCores,
): PlatformClients => {
  const call = async <Result>(perform: () => Promise<Result>): Promise<Result> => {
    try {
      return await network.call(node, PLATFORM, CALL_TIMEOUT_MS, perform);
    } catch (error) {
      throw toPlatformError(error);
    }
  };
  const { table, objectStore, vmList, rater } = cores;
  return {
    table: {
      transact: (transactions) => call(() => table.transact(structuredClone(transactions), node)),
      read: (keys) => call(() => table.read(keys, node)),
      scan: (options) => call(() => table.scan(options, node)),
    },
    objectStore: {
      put: (name, bytes) => call(() => objectStore.put(name, bytes, node)),
      get: (name) => call(() => objectStore.get(name, node)),
      delete: async (name) => {
        await call(() => objectStore.delete(name, node));
      },
      list: (prefix) => call(() => objectStore.list(prefix, node)),
    },
    vmList: { list: () => call(() => vmList.list(node)) },
    rater: {
      submit: (ratings) => call(() => rater.submit(ratings, node)),
      rate: (rating) => call(() => rater.rate(rating, node)),
      fetchRatings: (afterSeq, limit) => call(() => rater.list(afterSeq, limit, node)),
    },
  };
};

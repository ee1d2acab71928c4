/** Spreads seeds over a few worker threads. */
import { Worker } from 'node:worker_threads';
import type { BenchOptions } from './options.js';
import type { SeedMessage } from './seedWorker.js';
import type { BenchRow } from './types.js';

const createWorker = (options: BenchOptions): Worker =>
  new Worker(new URL('./seedWorker.js', import.meta.url), { workerData: options });

const runSeed = (worker: Worker, seed: number): Promise<readonly BenchRow[]> =>
  new Promise((resolve, reject) => {
    worker.once('error', reject);
    worker.once('message', (rows: readonly BenchRow[]) => {
      worker.off('error', reject);
      resolve(rows);
    });
    worker.postMessage({ seed } satisfies SeedMessage);
  });

/** The rows of all seeds, in the order of the seeds whichever thread was faster. */
export const runSeeds = async (options: BenchOptions): Promise<readonly BenchRow[]> => {
  const rowsBySeed = new Map<number, readonly BenchRow[]>();
  const waiting = [...options.seeds];
  const runWorker = async (): Promise<void> => {
    const worker = createWorker(options);
    for (let seed = waiting.shift(); seed !== undefined; seed = waiting.shift()) {
      // One thread runs its seeds one after the other.
      rowsBySeed.set(seed, await runSeed(worker, seed));
    }
    await worker.terminate();
  };
  const count = Math.min(options.threadCount, options.seeds.length);
  await Promise.all(Array.from({ length: count }, runWorker));
  return options.seeds.flatMap((seed) => rowsBySeed.get(seed) ?? []);
};

/** A worker thread: runs all wanted scenarios for each seed that it is sent. */
import { parentPort, workerData } from 'node:worker_threads';
import { listScenarios } from './listScenarios.js';
import type { BenchOptions } from './options.js';

/** The rows of one seed, as the worker answers. */
export interface SeedMessage {
  readonly seed: number;
}

const options = workerData as BenchOptions;
const scenarios = listScenarios(options.scenarioFilter);

parentPort?.on('message', ({ seed }: SeedMessage) => {
  const rows = scenarios.flatMap((scenario) => scenario.run(seed, options.withAllRounds));
  parentPort?.postMessage(rows);
});

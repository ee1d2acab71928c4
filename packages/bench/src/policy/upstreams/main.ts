/**
 * Runs the upstream scenarios alone: `node main.js [--seeds N] [--seed FIRST] [--only TEXT] [--json]`.
 * Prints a row for each seed as JSON, or mean and spread over the seeds.
 */
import { parseArgs } from 'node:util';
import type { BenchRow } from '../types.js';
import { getPoolScenarios } from './getUpstreamScenarios.js';
import { getSpread } from './measures.js';
import type { PoolScenario } from './types.js';

const { values } = parseArgs({
  options: {
    seeds: { type: 'string', default: '10' },
    seed: { type: 'string', default: '1' },
    only: { type: 'string', default: '' },
    json: { type: 'boolean', default: false },
  },
});

const FIGURES = ['p50Ms', 'p95Ms', 'goodputPct', 'fairness'] as const;

const seeds = Array.from(
  { length: Number(values.seeds) },
  (_, index) => Number(values.seed) + index,
);

const print = (line: string): boolean => process.stdout.write(`${line}\n`);

const summarise = (rows: readonly BenchRow[]): string =>
  FIGURES.map((figure) => {
    const { min, mean, max } = getSpread(rows.flatMap((row) => row[figure] ?? []));
    return `${figure} ${mean.toFixed(2)} (${min} to ${max})`;
  }).join('  ');

const runPolicy = (scenario: PoolScenario, policy: string): void => {
  const rows = seeds.map((seed) => scenario.run(policy, seed));
  if (values.json) {
    rows.forEach((row) => print(JSON.stringify(row)));
  } else {
    print(`${scenario.name.padEnd(32)} ${policy.padEnd(20)} ${summarise(rows)}`);
  }
};

getPoolScenarios()
  .filter((scenario) => scenario.name.includes(values.only))
  .forEach((scenario) => scenario.policies.forEach((policy) => runPolicy(scenario, policy)));

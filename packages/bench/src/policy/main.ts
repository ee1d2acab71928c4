/**
 * `npm run bench:policy`: drives the decision code with a virtual clock against small seeded models
 * of engines, raters and arrivals. The same seed gives the same figures.
 */
import { getChoiceScenarios } from './choice/index.js';
import { parseBenchOptions } from './options.js';
import { getRolloutScenarios } from './rollouts/index.js';
import { formatSummary } from './summary.js';
import type { BenchRow, Scenario } from './types.js';

const listScenarios = (filter: string): readonly Scenario[] =>
  [...getChoiceScenarios(), ...getRolloutScenarios()].filter(({ name }) => name.includes(filter));

const printRows = (rows: readonly BenchRow[]): void =>
  rows.forEach((row) => process.stdout.write(`${JSON.stringify(row)}\n`));

const runBench = (): void => {
  const options = parseBenchOptions(process.argv.slice(2));
  const scenarios = listScenarios(options.scenarioFilter);
  const rows = options.seeds.flatMap((seed) =>
    scenarios.flatMap((scenario) => {
      const results = scenario.run(seed);
      if (options.isJson) {
        printRows(results);
      }
      return results;
    }),
  );
  if (!options.isJson) {
    process.stdout.write(`${formatSummary(rows)}\n`);
  }
};

runBench();

/** Command line of the bench. */
import { parseArgs } from 'node:util';

/** What to run and how to print it. */
export interface BenchOptions {
  readonly seeds: readonly number[];
  readonly isJson: boolean;
  /** Only scenarios whose name contains this. */
  readonly scenarioFilter: string;
}

const parseSeedRange = (text: string): readonly number[] => {
  const [first = 1, last = first] = text.split('..').map(Number);
  return Array.from({ length: last - first + 1 }, (_, index) => first + index);
};

/** Reads `--seed N`, `--seeds A..B`, `--json`, `--scenario TEXT`. */
export const parseBenchOptions = (args: readonly string[]): BenchOptions => {
  const { values } = parseArgs({
    args: [...args],
    options: {
      seed: { type: 'string', default: '1' },
      seeds: { type: 'string' },
      json: { type: 'boolean', default: false },
      scenario: { type: 'string', default: '' },
    },
  });
  return {
    seeds: parseSeedRange(values.seeds ?? values.seed),
    isJson: values.json,
    scenarioFilter: values.scenario,
  };
};

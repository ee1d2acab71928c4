/** Command line of the bench. */
import { parseArgs } from 'node:util';

/** What to run and how to print it. */
export interface BenchOptions {
  readonly seeds: readonly number[];
  readonly isJson: boolean;
  /** Only scenarios whose name contains this. */
  readonly scenarioFilter: string;
  /** All earlier rounds of our policies take part, not the last one only. */
  readonly withAllRounds: boolean;
  /** Seeds run at a time. */
  readonly threadCount: number;
}

const parseSeedRange = (text: string): readonly number[] => {
  const [first = 1, last = first] = text.split('..').map(Number);
  return Array.from({ length: last - first + 1 }, (_, index) => first + index);
};

/** Reads `--seed N`, `--seeds A..B`, `--json`, `--scenario TEXT`, `--all-rounds`, `--threads N`. */
export const parseBenchOptions = (args: readonly string[]): BenchOptions => {
  const { values } = parseArgs({
    args: [...args],
    options: {
      seed: { type: 'string', default: '1' },
      seeds: { type: 'string' },
      json: { type: 'boolean', default: false },
      scenario: { type: 'string', default: '' },
      'all-rounds': { type: 'boolean', default: false },
      threads: { type: 'string', default: '4' },
    },
  });
  return {
    seeds: parseSeedRange(values.seeds ?? values.seed),
    isJson: values.json,
    scenarioFilter: values.scenario,
    withAllRounds: values['all-rounds'],
    threadCount: Number(values.threads),
  };
};

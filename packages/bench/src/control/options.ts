/** Command line of the control bench. */
import { parseArgs } from 'node:util';

export interface ControlOptions {
  readonly daemons: readonly number[];
  /** Engines a data centre, measured with three daemons; empty: not measured. */
  readonly engines: readonly number[];
  /** Further VMs on the platform's list, measured with three daemons; empty: not measured. */
  readonly listedVms: readonly number[];
  readonly phaseMs: number;
  readonly isJson: boolean;
}

const toNumbers = (text: string): readonly number[] =>
  text
    .split(',')
    .filter((part) => part !== '')
    .map(Number);

/** Reads `--daemons A,B`, `--engines A,B`, `--listed A,B`, `--phase-ms N`, `--json`. */
export const parseControlOptions = (args: readonly string[]): ControlOptions => {
  const { values } = parseArgs({
    args: [...args],
    options: {
      daemons: { type: 'string', default: '3,9,27,54' },
      engines: { type: 'string', default: '16,48' },
      listed: { type: 'string', default: '500,1500' },
      'phase-ms': { type: 'string', default: '15000' },
      json: { type: 'boolean', default: false },
    },
  });
  return {
    daemons: toNumbers(values.daemons),
    engines: toNumbers(values.engines),
    listedVms: toNumbers(values.listed),
    phaseMs: Number(values['phase-ms']),
    isJson: values.json,
  };
};

/**
 * `npm run bench:control -- --daemons 3,9,27,54 --json`: what control takes of a daemon, measured with real
 * processes on loopback at several sizes, and what lines through the sizes say of the letter's.
 * Last line: JSON of the letter's size. Up to 54 daemons take about 6 GB and six minutes.
 */
import { mkdtempSync } from 'node:fs';
import { loadavg, tmpdir } from 'node:os';
import { join } from 'node:path';
import { measureBaselines } from './baselines.js';
import { listFits, type Fit, type Measurements } from './extrapolate.js';
import { measureSetup } from './measureSetup.js';
import { parseControlOptions } from './options.js';
import { summarise } from './summary.js';
import { useFields, type PhaseName, type Setup, type SetupResult } from './types.js';

const DATA_CENTRES = 3;
const BASE_ENGINES = 2;
/** Setups that vary something else than the number of daemons have this many, in one data centre. */
const FIXED_DAEMONS = 3;

const options = parseControlOptions(process.argv.slice(2));
const folder = mkdtempSync(join(tmpdir(), 'snipehaven-control-'));

const say = (line: string): void => {
  if (!options.isJson) {
    console.log(line);
  }
};

const show = (value: number): string => value.toFixed(Math.abs(value) < 10 ? 3 : 1);

const describeResult = ({ setup, phases }: SetupResult): void => {
  phases.forEach((phase) => {
    const use = useFields.map(
      (field) => `${field} ${show(phase.mean[field])} (max ${show(phase.max[field])})`,
    );
    say(
      `${JSON.stringify(setup)} ${phase.phase}: ${use.join(', ')}, ` +
        `table reads ${show(phase.tableReadsPerSecond)}/s, writes ${show(phase.tableWritesPerSecond)}/s, ` +
        `${phase.changes} changes in force p50 ${show(phase.inForceP50Ms)} max ${show(phase.inForceMaxMs)} ms, ` +
        `${phase.requests} requests, ${phase.failures} failures`,
    );
  });
};

const describeFit = ({ name, per, line, atTarget }: Fit): void =>
  say(
    `${name}: ${line.intercept.toFixed(3)} + ${line.slope.toFixed(5)} per ${per}, ` +
      `residual ${line.residual.toFixed(3)}; extrapolated ${show(atTarget)}`,
  );

const measure = async (setup: Setup, phases: readonly PhaseName[]): Promise<SetupResult> => {
  const result = await measureSetup({ setup, phases, phaseMs: options.phaseMs, folder });
  describeResult(result);
  return result;
};

const measureEach = async (
  setups: readonly Setup[],
  phases: readonly PhaseName[],
): Promise<readonly SetupResult[]> => {
  const results: SetupResult[] = [];
  for (const setup of setups) {
    results.push(await measure(setup, phases));
  }
  return results;
};

const fixed: Setup = {
  daemons: FIXED_DAEMONS,
  dataCentres: 1,
  engines: BASE_ENGINES,
  extraListedVms: 0,
};

const measureAll = async (): Promise<Measurements> => {
  const baselines = await measureBaselines(folder);
  say(
    `resident: bare Node ${show(baselines.bareNodeMb)} MB, libraries loaded ${show(baselines.librariesMb)} MB`,
  );
  const base = await measureEach([fixed], ['idle']);
  const engines = options.engines.map((count) => ({ ...fixed, engines: count }));
  const listed = options.listedVms.map((count) => ({ ...fixed, extraListedVms: count }));
  const sizes = options.daemons.map((daemons) => ({
    daemons,
    dataCentres: Math.min(DATA_CENTRES, daemons),
    engines: BASE_ENGINES,
    extraListedVms: 0,
  }));
  return {
    baselines,
    byEngines: [...base, ...(await measureEach(engines, ['idle']))],
    byListedVms: [...base, ...(await measureEach(listed, ['idle']))],
    bySize: await measureEach(sizes, ['idle', 'churn', 'load']),
  };
};

say(`load of the machine at the start: ${loadavg().map(show).join(' ')}`);
const measurements = await measureAll();
const fits = listFits(measurements);
fits.forEach(describeFit);
say(`load of the machine at the end: ${loadavg().map(show).join(' ')}`);
console.log(JSON.stringify(summarise(measurements, fits)));

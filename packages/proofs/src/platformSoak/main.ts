/**
 * `npm run soak:platform -- [--seed N] [--seeds COUNT] [--seconds S] [--vms PER_DATA_CENTRE] [--callers N]
 * [--folder DIR] [--scenario all|planned|crashes|hostile] [--regressions]`; exit code 1 where a promise
 * broke. Logs of the daemons stay in the folder.
 */
import { mkdirSync, mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { lanesOf, type Scenario } from './faults/index.js';
import { regressionSeeds } from './regressionSeeds.js';
import { runSoak, type SoakOutcome } from './soakRun.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seeds: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '20' },
    vms: { type: 'string', default: '2' },
    callers: { type: 'string', default: '24' },
    folder: { type: 'string' },
    scenario: { type: 'string', default: 'all' },
    regressions: { type: 'boolean', default: false },
  },
});

const isScenario = (name: string): name is Scenario => Object.hasOwn(lanesOf, name);

const { scenario } = values;
if (!isScenario(scenario)) {
  console.error(`unknown scenario "${scenario}"; one of ${Object.keys(lanesOf).join(', ')}`);
  process.exit(2);
}

/** Blocks of 127.0.0.0/8 by the process's id, so that runs side by side do not meet. */
const network = `127.${10 + (process.pid % 200)}`;
const folder = values.folder ?? mkdtempSync(join(tmpdir(), 'snipehaven-platform-soak-'));

const listRuns = (): readonly { seed: number; seconds: number }[] =>
  values.regressions
    ? regressionSeeds
    : Array.from({ length: Number(values.seeds) }, (_, index) => ({
        seed: Number(values.seed) + index,
        seconds: Number(values.seconds),
      }));

const say = (seed: number, { violations, attempts, served, faults }: SoakOutcome): void => {
  const struck = Object.entries(faults).map(([name, count]) => `${name} ${count}`);
  console.log(`seed ${seed}: ${served} of ${attempts} served, ${violations.length} violations`);
  console.log(`  ${struck.join(', ')}`);
  violations.forEach(({ promise, detail }) => console.log(`  ${promise}: ${detail}`));
};

let brokenSeeds = 0;
for (const { seed, seconds } of listRuns()) {
  const ownFolder = join(folder, `seed-${seed}`);
  mkdirSync(ownFolder, { recursive: true });
  const outcome = await runSoak({
    seed,
    seconds,
    scenario,
    vmsPerDataCentre: Number(values.vms),
    callers: Number(values.callers),
    folder: ownFolder,
    network,
  });
  say(seed, outcome);
  brokenSeeds += outcome.violations.length > 0 ? 1 : 0;
}
console.log(`${brokenSeeds} seeds with violations; logs in ${folder}`);
process.exit(brokenSeeds > 0 ? 1 : 0);

/**
 * `npm run soak:platform -- [--seed N] [--seeds COUNT] [--seconds S] [--vms PER_DATA_CENTRE] [--callers N]
 * [--folder DIR]`; exit code 1 where a promise broke. Logs of the daemons stay in the folder.
 */
import { mkdirSync, mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { runSoak } from './soakRun.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seeds: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '20' },
    vms: { type: 'string', default: '2' },
    callers: { type: 'string', default: '24' },
    folder: { type: 'string' },
  },
});

/** Blocks of 127.0.0.0/8 by the process's id, so that runs side by side do not meet. */
const network = `127.${10 + (process.pid % 200)}`;
const folder = values.folder ?? mkdtempSync(join(tmpdir(), 'snipehaven-platform-soak-'));
const first = Number(values.seed);
let brokenSeeds = 0;
for (let seed = first; seed < first + Number(values.seeds); seed += 1) {
  const ownFolder = join(folder, `seed-${seed}`);
  mkdirSync(ownFolder, { recursive: true });
  const { violations, attempts, served, faults } = await runSoak({
    seed,
    seconds: Number(values.seconds),
    vmsPerDataCentre: Number(values.vms),
    callers: Number(values.callers),
    folder: ownFolder,
    network,
  });
  const struck = Object.entries(faults).map(([name, count]) => `${name} ${count}`);
  console.log(`seed ${seed}: ${served} of ${attempts} served, ${violations.length} violations`);
  console.log(`  ${struck.join(', ')}`);
  violations.forEach(({ promise, detail }) => console.log(`  ${promise}: ${detail}`));
  brokenSeeds += violations.length > 0 ? 1 : 0;
}
console.log(`${brokenSeeds} seeds with violations; logs in ${folder}`);
process.exit(brokenSeeds > 0 ? 1 : 0);

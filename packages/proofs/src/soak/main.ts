/** `npm run soak -- [--seed N] [--minutes M] [--folder DIR]`; exit code 1 where a promise broke. */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { sayReport } from './report/sayReport.js';
import { SoakRun } from './soakRun.js';

const MS_PER_SECOND = 1_000;

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    minutes: { type: 'string', default: '1' },
    folder: { type: 'string' },
  },
});

const startedAtMs = Date.now();

/** Steps of the run carry the time since its start; the report does not. */
const sayStep = (line: string): void =>
  console.log(`${((Date.now() - startedAtMs) / MS_PER_SECOND).toFixed(1).padStart(6)}  ${line}`);

const folder = values.folder ?? mkdtempSync(join(tmpdir(), 'snipehaven-soak-'));
const soak = new SoakRun({
  seed: Number(values.seed),
  minutes: Number(values.minutes),
  folder,
  say: sayStep,
});
let hasHeld = false;
try {
  await soak.start();
  const outcome = await soak.run();
  await soak.stop();
  hasHeld = sayReport(outcome, (line) => console.log(line));
} catch (error) {
  await soak.stop();
  throw error;
}
process.exit(hasHeld ? 0 : 1);

/** `npm run fuzz -- --seed N --runs M [--steps S] [--limit-seconds L]`. Last line: JSON with the counts. */
import { parseArgs } from 'node:util';
import { fuzz } from './fuzz.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    runs: { type: 'string', default: '20' },
    steps: { type: 'string', default: '60' },
    'limit-seconds': { type: 'string', default: '600' },
  },
});

const startedAtMs = performance.now();
const report = await fuzz({
  seed: Number(values.seed),
  runs: Number(values.runs),
  maxSteps: Number(values.steps),
  limitMs: Number(values['limit-seconds']) * 1_000,
  onRun: (index, violations) => {
    if (index > Number(values.runs)) {
      return;
    }
    const seconds = ((performance.now() - startedAtMs) / 1_000).toFixed(1);
    console.log(`run ${index}, ${seconds} s: ${violations.join('; ') || 'held'}`);
  },
});
if (report.counterexample) {
  console.log(`replay with --seed ${report.seed}; shrunk to:`);
  report.counterexample.steps.forEach((step) => console.log(`  ${JSON.stringify(step)}`));
  report.counterexample.violations.forEach((violation) => console.log(`BROKEN ${violation}`));
}
const { seed, runs, commands, violations } = report;
console.log(JSON.stringify({ seed, runs, commands, violations }));
process.exit(violations === 0 ? 0 : 1);

/**
 * `npm run bench:policy`: drives the decision code with a virtual clock against small seeded models
 * of engines, raters and arrivals. The same seed gives the same figures.
 */
import { parseBenchOptions } from './options.js';
import { runSeeds } from './runSeeds.js';
import { formatSummary } from './summary.js';

const options = parseBenchOptions(process.argv.slice(2));
const rows = await runSeeds(options);
const text = options.isJson
  ? rows.map((row) => JSON.stringify(row)).join('\n')
  : formatSummary(rows);
process.stdout.write(`${text}\n`);

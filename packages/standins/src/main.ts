/**
 * The stand-ins as one process: `node main.js --config file.json`. Prints one JSON line with the
 * addresses when all listen; ends on SIGTERM or SIGINT.
 */
import { readFile } from 'node:fs/promises';
import { parseArgs } from 'node:util';
import { restoreStandinsConfig } from './standinsConfig.js';
import { getAddresses, startStandins } from './startStandins.js';

const { values } = parseArgs({ options: { config: { type: 'string' } } });
if (values.config === undefined) {
  throw new Error('usage: main.js --config file.json');
}
const options = restoreStandinsConfig(await readFile(values.config, 'utf8'));
const standins = await startStandins(options);
const stop = (): void => {
  void standins.stop();
};
process.once('SIGTERM', stop);
process.once('SIGINT', stop);
process.stdout.write(`${JSON.stringify(getAddresses(standins))}\n`);

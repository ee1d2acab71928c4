/** Applies the sample configuration as an operator would. */
import { writeFileSync } from 'node:fs';
import { dirname, join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { Deployment } from './deployment.js';
import { runSnipectl } from './runSnipectl.js';
import { createUpstreamManifests, type AddedVersion } from './sampleDeployment.js';

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../../..');

/** Where the sample configurations are. */
export const SAMPLES_FOLDER = join(ROOT, 'config');

/** Runs `snipectl` against all daemons of the deployment; throws where it fails. */
export const operate = async (deployment: Deployment, args: readonly string[]): Promise<void> => {
  const urls = deployment.daemons.map((daemon) => daemon.operatorsUrl);
  const result = await runSnipectl(urls, args);
  if (result.code !== 0) {
    throw new Error(`snipectl ${args.join(' ')} ended with ${result.code}: ${result.output}`);
  }
};

/** Applies the configuration of both users and waits until it is in force everywhere. */
export const applySample = async (
  deployment: Deployment,
  folder: string,
  added: readonly AddedVersion[] = [],
): Promise<void> => {
  const upstreams = join(folder, 'upstreams.json');
  const resources = createUpstreamManifests(deployment.addresses, added);
  writeFileSync(upstreams, JSON.stringify({ resources }));
  const samples = ['kowalczyk.toml', 'caprock.toml'].map((file) => join(SAMPLES_FOLDER, file));
  const files = [...samples, upstreams];
  await operate(deployment, [
    'apply',
    ...files.flatMap((file) => ['-f', file]),
    '--wait',
    'inForce',
  ]);
  await deployment.waitUntilAllReady();
};

/** The deployment of one setup: stand-ins, daemons and their configuration. */
import { join } from 'node:path';
import { controlStandin, Deployment, hashSecret, putResource } from '@snipehaven/demo';
import { TEAM, TEAM_KEY, VERSION } from './constants.js';
import type { Setup } from './types.js';
import { UNLIMITED } from '../unlimitedTeam.js';

const listDataCentres = ({ dataCentres }: Setup): readonly string[] =>
  Array.from({ length: dataCentres }, (_, index) => `bench-${index + 1}`);

const listEngines = (setup: Setup): readonly { name: string; dataCentre: string }[] =>
  listDataCentres(setup).flatMap((dataCentre) =>
    Array.from({ length: setup.engines }, (_, index) => ({
      name: `engine-${dataCentre}-${index + 1}`,
      dataCentre,
    })),
  );

export const createDeployment = (setup: Setup, folder: string): Deployment =>
  new Deployment({
    folder: join(folder, `${setup.daemons}-${setup.engines}-${setup.extraListedVms}`),
    dataCentres: listDataCentres(setup),
    daemonsPerDataCentre: Math.max(1, Math.round(setup.daemons / setup.dataCentres)),
    logLevel: 'warn',
    standins: {
      engines: listEngines(setup).map(({ name }) => ({
        name,
        versions: [VERSION],
        tokenMs: 1,
        prefillMsPerToken: 0,
        maxRunning: 64,
      })),
    },
  });

/** Puts daemons, engines and further VMs on the platform's list. */
export const listVms = async (deployment: Deployment, setup: Setup): Promise<void> => {
  const urls = new Map(deployment.addresses.engines.map(({ name, url }) => [name, url]));
  const entries = deployment.vms.map(({ name, dataCentre, address }) => ({
    name,
    role: 'entry',
    dataCentre,
    address: `${address}:7000`,
    state: 'live',
  }));
  const engines = listEngines(setup).map(({ name, dataCentre }) => ({
    name,
    role: 'upstream',
    dataCentre,
    address: new URL(urls.get(name) ?? '').host,
    state: 'live',
  }));
  const extra = Array.from({ length: setup.extraListedVms }, (_, index) => ({
    name: `other-engine-${index + 1}`,
    role: 'upstream',
    dataCentre: 'elsewhere-1',
    address: `10.0.${Math.floor(index / 250)}.${index % 250}:8000`,
    state: 'live',
  }));
  const vms = [...entries, ...engines, ...extra];
  await controlStandin(deployment.addresses.vmListUrl ?? '', { vms });
};

/** Writes the configuration: one version, its engines, one team. */
export const configure = async (deployment: Deployment, setup: Setup): Promise<void> => {
  const operatorsUrl = deployment.daemons[0]?.operatorsUrl ?? '';
  const urls = new Map(deployment.addresses.engines.map(({ name, url }) => [name, url]));
  await putResource(operatorsUrl, 'Model', 'scribe', {});
  await putResource(operatorsUrl, 'ModelVersion', VERSION, {
    inputMicroUsdPerMillionTokens: 100,
    outputMicroUsdPerMillionTokens: 400,
    priorQuality: 0.9,
    priorWeight: 100,
  });
  for (const { name, dataCentre } of listEngines(setup)) {
    await putResource(operatorsUrl, 'Upstream', name, {
      dataCentre,
      type: 'engine',
      url: urls.get(name),
      versions: [VERSION],
      maxConcurrency: 64,
    });
  }
  await putResource(operatorsUrl, 'Team', TEAM, {
    keys: [{ name: 'k', sha256: hashSecret(TEAM_KEY) }],
    allowedVersions: ['scribe@*'],
    qualityTarget: 0.5,
    limits: UNLIMITED,
  });
};

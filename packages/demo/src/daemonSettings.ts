/** Writes the settings file of one daemon of a deployment. */
import { createHash } from 'node:crypto';
import type { StandinAddresses } from '@snipehaven/standins';
import { CALLERS_PORT, OPERATORS_PORT, PEERS_PORT, type EntryVm } from './layout.js';

/** Credentials of the demo, made up for it. */
export const demoSecrets = {
  peer: 'demo-peer-secret-0123456789',
  session: 'demo-session-key-0123456789',
  operatorToken: 'demo-operator-token',
} as const;

/** Environment variables in which the daemons find their secrets. */
export const daemonEnvironment = {
  SNIPEHAVEN_PEER_SECRET: demoSecrets.peer,
  SNIPEHAVEN_SESSION_KEY: demoSecrets.session,
} as const;

export const hashSecret = (secret: string): string =>
  createHash('sha256').update(secret).digest('hex');

export interface DaemonSettingsInput {
  readonly vm: EntryVm;
  readonly seeds: readonly string[];
  readonly standins: StandinAddresses;
  readonly logLevel: string;
  readonly balancerDelayMs: number;
}

const listen = (slot: string, address: string, port: number): string =>
  `[listen.${slot}]\naddress = "${address}"\nport = ${port}\n`;

/** The settings as TOML. */
export const toDaemonSettings = (input: DaemonSettingsInput): string => {
  const { vm, standins } = input;
  return `[vm]
name = "${vm.name}"
dataCentre = "${vm.dataCentre}"

${listen('callers', vm.address, CALLERS_PORT)}
${listen('operators', vm.address, OPERATORS_PORT)}
${listen('peers', vm.address, PEERS_PORT)}
[platform]
tableUrl = "${standins.tableUrl}"
objectStoreUrl = "${standins.objectStoreUrl}"
vmListUrl = "${standins.vmListUrl}"
raterUrl = "${standins.raterUrl}"
weightStoreUrl = "${standins.weightStoreUrl}"

[peers]
seeds = [${input.seeds.map((seed) => `"${seed}"`).join(', ')}]
secret = { env = "SNIPEHAVEN_PEER_SECRET" }

[sessions]
key = { env = "SNIPEHAVEN_SESSION_KEY" }

[operators]
tokens = [{ name = "demo", sha256 = "${hashSecret(demoSecrets.operatorToken)}", role = "write" }]

[shutdown]
balancerDelayMs = ${input.balancerDelayMs}
deadlineMs = 20000

[log]
level = "${input.logLevel}"
`;
};

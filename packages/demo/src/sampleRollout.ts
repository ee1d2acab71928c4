/** The roll-out of the demo: a grossly bad version, which the shadow has to show. */
import { join } from 'node:path';
import type { EngineTruth } from '@snipehaven/standins';
import { operate, SAMPLES_FOLDER } from './applySample.js';
import type { Deployment } from './deployment.js';
import { callOperatorApi } from './operatorClient.js';
import type { AddedVersion } from './sampleDeployment.js';
import { controlStandin } from './standinsClient.js';
import { getFinalEnd, type CallRecord } from './workload/callRecord.js';

/** As in config/rollout.toml. */
export const sampleCandidate: AddedVersion = {
  version: 'scribe@2',
  means: { '*': 0.72, tag: 0.9, status: 0.9 },
};

const ROLLOUT_NAME = 'scribe-2';
const POLL_MS = 250;
/** The last scores are still on their way when the load ends. */
const PHASE_TIMEOUT_MS = 15_000;
const SHADOW_MARK = '.shadow.';

/** What came of the roll-out. */
export interface RolloutOutcome {
  /** Answers of the candidate that callers got. */
  readonly exposed: number;
  /** Answers of the candidate that were only rated. */
  readonly shadowed: number;
  readonly rolloutPhase: string;
}

const readPhase = async (operatorsUrl: string): Promise<string> => {
  const { body } = await callOperatorApi(operatorsUrl, 'GET', '/api/rollouts');
  const { rollouts = [] } = body as {
    readonly rollouts?: readonly { readonly name: string; readonly phase: string }[];
  };
  return rollouts.find(({ name }) => name === ROLLOUT_NAME)?.phase ?? 'unknown';
};

/** Waits until all daemons report the phase, or for a while; resolves with the first one's. */
export const waitForPhase = async (deployment: Deployment, wanted: string): Promise<string> => {
  const giveUpAtMs = Date.now() + PHASE_TIMEOUT_MS;
  for (;;) {
    const urls = deployment.daemons.map(({ operatorsUrl }) => operatorsUrl);
    const phases = await Promise.all(urls.map((url) => readPhase(url).catch(() => 'unknown')));
    if (phases.every((phase) => phase === wanted) || Date.now() > giveUpAtMs) {
      return phases[0] ?? 'unknown';
    }
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
};

/** Makes the candidate bad at all engines, then declares its roll-out and waits until it is under way. */
export const startSampleRollout = async (deployment: Deployment): Promise<void> => {
  const versionFaults = { [sampleCandidate.version]: { kind: 'gross' } };
  const { engines } = deployment.addresses;
  await Promise.all(
    engines.map(({ url }) => controlStandin(url, { engineFaults: { versionFaults } })),
  );
  const file = join(SAMPLES_FOLDER, 'rollout.toml');
  await operate(deployment, ['apply', '-f', file, '--wait', 'inForce']);
  await waitForPhase(deployment, 'running');
};

const hasCandidate = (record: CallRecord): boolean => {
  const end = getFinalEnd(record);
  return end?.kind === 'answered' && end.answer.version === sampleCandidate.version;
};

/** Counts what callers got, and what the engines did beside. */
export const judgeRollout = (
  rolloutPhase: string,
  records: readonly CallRecord[],
  engines: readonly EngineTruth[],
): RolloutOutcome => ({
  exposed: records.filter(hasCandidate).length,
  shadowed: engines
    .flatMap(({ streams }) => streams)
    .filter(({ versionId }) => versionId === sampleCandidate.version)
    .filter(({ streamId }) => streamId.includes(SHADOW_MARK)).length,
  rolloutPhase,
});

/** Measures one setup in its phases. */
import { readTruth, type Deployment } from '@snipehaven/demo';
import type { TableTruth } from '@snipehaven/standins';
import { configure, createDeployment, listVms } from './benchDeployment.js';
import { runChurn } from './churn.js';
import { MS_PER_SECOND, SETTLE_MS } from './constants.js';
import { compareSamples, sampleDaemons } from './daemonSample.js';
import { runSteadyLoad } from './steadyLoad.js';
import type { PhaseName, PhaseResult, Setup, SetupResult } from './types.js';
import { wait } from './wait.js';

export interface MeasureOptions {
  readonly setup: Setup;
  readonly phases: readonly PhaseName[];
  readonly phaseMs: number;
  readonly folder: string;
}

/** What the work of a phase reports. */
type Activity = Pick<
  PhaseResult,
  'changes' | 'requests' | 'failures' | 'inForceP50Ms' | 'inForceMaxMs'
>;

const noActivity: Activity = {
  changes: 0,
  requests: 0,
  failures: 0,
  inForceP50Ms: 0,
  inForceMaxMs: 0,
};

const getMedian = (numbers: readonly number[]): number =>
  [...numbers].sort((a, b) => a - b)[Math.floor(numbers.length / 2)] ?? 0;

const activities: Readonly<
  Record<PhaseName, (deployment: Deployment, phaseMs: number) => Promise<Activity>>
> = {
  idle: async (_, phaseMs) => {
    await wait(phaseMs);
    return noActivity;
  },
  churn: async ({ daemons }, phaseMs) => {
    const { changes, failures, inForceMs } = await runChurn(daemons, phaseMs);
    return {
      ...noActivity,
      changes,
      failures,
      inForceP50Ms: getMedian(inForceMs),
      inForceMaxMs: Math.max(0, ...inForceMs),
    };
  },
  load: async ({ daemons }, phaseMs) => ({
    ...noActivity,
    ...(await runSteadyLoad(daemons, phaseMs)),
  }),
};

const measurePhase = async (
  deployment: Deployment,
  phase: PhaseName,
  phaseMs: number,
): Promise<PhaseResult> => {
  const tableUrl = deployment.addresses.tableUrl ?? '';
  const startedAtMs = performance.now();
  const tableBefore = await readTruth<TableTruth>(tableUrl);
  const before = await sampleDaemons(deployment.daemons);
  const activity = await activities[phase](deployment, phaseMs);
  const after = await sampleDaemons(deployment.daemons);
  const tableAfter = await readTruth<TableTruth>(tableUrl);
  const seconds = (performance.now() - startedAtMs) / MS_PER_SECOND;
  return {
    phase,
    ...compareSamples(before, after),
    tableReadsPerSecond: (tableAfter.readUnits - tableBefore.readUnits) / seconds,
    tableWritesPerSecond: (tableAfter.writeUnits - tableBefore.writeUnits) / seconds,
    ...activity,
    changesPerSecond: activity.changes / seconds,
  };
};

/** Starts the setup, measures its phases one after the other, and stops it. */
export const measureSetup = async (options: MeasureOptions): Promise<SetupResult> => {
  const { setup, phaseMs } = options;
  const deployment = createDeployment(setup, options.folder);
  try {
    await deployment.startStandins();
    await listVms(deployment, setup);
    await deployment.startDaemons();
    await configure(deployment, setup);
    await deployment.waitUntilAllReady();
    await wait(SETTLE_MS);
    const phases: PhaseResult[] = [];
    for (const phase of options.phases) {
      phases.push(await measurePhase(deployment, phase, phaseMs));
    }
    return { setup, phases };
  } finally {
    await deployment.stop();
  }
};

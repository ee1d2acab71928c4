/** Lines through the measured setups, and what they say of the letter's size. */
import type { Baselines } from './baselines.js';
import { target } from './constants.js';
import { evaluateLine, fitLine, type Line, type Point } from './fitLine.js';
import {
  useFields,
  type PhaseName,
  type PhaseResult,
  type Setup,
  type SetupResult,
  type UseField,
} from './types.js';

/** Measured setups by what was varied in them. */
export interface Measurements {
  readonly baselines: Baselines;
  readonly bySize: readonly SetupResult[];
  readonly byEngines: readonly SetupResult[];
  readonly byListedVms: readonly SetupResult[];
}

/** A named line, for people. */
export interface Fit {
  readonly name: string;
  /** What the line's `x` counts. */
  readonly per: string;
  readonly line: Line;
  readonly getX: (setup: Setup) => number;
  readonly atTarget: number;
}

/** One daemon's share of an amount that grows with something other than the number of daemons. */
interface Growth {
  readonly results: readonly SetupResult[];
  readonly per: string;
  readonly getX: (setup: Setup) => number;
  readonly targetX: number;
}

/** Reads of the head row that all daemons together make each second; see configuration's constants. */
const POLL_READS_PER_SECOND = 30;
/** See membership's constants. */
const RELAYS_PER_DATA_CENTRE = 2;
const RELAY_ROUNDS_PER_SECOND = 0.5;
/** See the settings of upstreams and routing's `PollRotation`. */
const LOADS_PER_ENGINE_PER_SECOND = 2;
const MAX_POLLS_PER_SECOND = 8;

const enginesPerDataCentre = Math.ceil(target.engines / target.dataCentres);

export const countListedVms = (setup: Setup): number =>
  setup.daemons + setup.engines * setup.dataCentres + setup.extraListedVms;

/**
 * Exchanges that a daemon starts or answers each second: one probe in its data centre, and its part of
 * the two relays that reach into each other data centre every two seconds; see membership's constants.
 */
export const countExpectedExchanges = (daemons: number, dataCentres: number): number => {
  const local = daemons / dataCentres;
  const probes = local > 1 ? 1 : 0;
  const relays = Math.min(RELAYS_PER_DATA_CENTRE, local) * (dataCentres - 1);
  return 2 * (probes + (relays * RELAY_ROUNDS_PER_SECOND) / local);
};

/** Polls of the head row: one a second by each daemon up to the bound, and by each data centre's owner. */
export const countExpectedPolls = (daemons: number, dataCentres: number): number => {
  const others = daemons - dataCentres;
  const share = Math.max(1, daemons / POLL_READS_PER_SECOND);
  return dataCentres + others / share;
};

/** Noise can make a line fall or start below zero; neither is believed: the mean or nothing is taken. */
const extrapolate = (points: readonly Point[], line: Line, targetX: number): number => {
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / Math.max(1, points.length);
  return Math.max(0, evaluateLine(line, line.slope < 0 ? meanX : targetX));
};

/** Calls a second to engines: twice for load and once for cache events each, up to routing's budget. */
export const countExpectedEngineCalls = (engines: number): number =>
  Math.min(LOADS_PER_ENGINE_PER_SECOND * engines, MAX_POLLS_PER_SECOND) +
  Math.min(engines, MAX_POLLS_PER_SECOND);

export const getPhase = ({ phases }: SetupResult, name: PhaseName): PhaseResult | undefined =>
  phases.find(({ phase }) => phase === name);

const fitGrowth = (
  growth: Growth,
  name: string,
  phase: PhaseName,
  read: (result: PhaseResult) => number,
): Fit => {
  const points = growth.results.flatMap((result) => {
    const found = getPhase(result, phase);
    return found === undefined ? [] : [{ x: growth.getX(result.setup), y: read(found) }];
  });
  const line = fitLine(points);
  const { per, getX, targetX } = growth;
  return { name, per, line, getX, atTarget: extrapolate(points, line, targetX) };
};

type GrowthName =
  | 'daemons'
  | 'localDaemons'
  | 'engines'
  | 'engineCalls'
  | 'listedVms'
  | 'polls'
  | 'pollsPerDaemon'
  | 'exchanges';

const listGrowths = (measurements: Measurements): Readonly<Record<GrowthName, Growth>> => ({
  daemons: {
    results: measurements.bySize,
    per: 'daemon',
    getX: ({ daemons }) => daemons,
    targetX: target.daemons,
  },
  localDaemons: {
    results: measurements.bySize,
    per: 'daemon of the data centre',
    getX: ({ daemons, dataCentres }) => daemons / dataCentres,
    targetX: target.daemons / target.dataCentres,
  },
  engines: {
    results: measurements.byEngines,
    per: 'engine of the data centre',
    getX: ({ engines }) => engines,
    targetX: enginesPerDataCentre,
  },
  engineCalls: {
    results: measurements.byEngines,
    per: 'expected call to an engine a second',
    getX: ({ engines }) => countExpectedEngineCalls(engines),
    targetX: countExpectedEngineCalls(enginesPerDataCentre),
  },
  listedVms: {
    results: measurements.byListedVms,
    per: 'listed VM',
    getX: countListedVms,
    targetX: target.daemons + target.engines,
  },
  polls: {
    results: measurements.bySize,
    per: 'expected poll of the head row',
    getX: ({ daemons, dataCentres }) => countExpectedPolls(daemons, dataCentres),
    targetX: countExpectedPolls(target.daemons, target.dataCentres),
  },
  pollsPerDaemon: {
    results: measurements.bySize,
    per: 'expected poll of the head row by the daemon',
    getX: ({ daemons, dataCentres }) => countExpectedPolls(daemons, dataCentres) / daemons,
    targetX: countExpectedPolls(target.daemons, target.dataCentres) / target.daemons,
  },
  exchanges: {
    results: measurements.bySize,
    per: 'expected exchange of the daemon',
    getX: ({ daemons, dataCentres }) => countExpectedExchanges(daemons, dataCentres),
    targetX: countExpectedExchanges(target.daemons, target.dataCentres),
  },
});

/** What each use of a daemon grows with. */
const growthOfUse: Readonly<Record<UseField, GrowthName>> = {
  cpuPct: 'daemons',
  residentMb: 'localDaemons',
  heapMb: 'localDaemons',
  peerBytesPerSecond: 'exchanges',
  platformBytesPerSecond: 'pollsPerDaemon',
  upstreamBytesPerSecond: 'daemons',
};

export const listFits = (measurements: Measurements): readonly Fit[] => {
  const growths = listGrowths(measurements);
  const fit = (
    growth: GrowthName,
    name: string,
    phase: PhaseName,
    read: (result: PhaseResult) => number,
  ): Fit => fitGrowth(growths[growth], name, phase, read);
  const phases: readonly PhaseName[] = ['idle', 'churn', 'load'];
  return [
    ...phases.flatMap((phase) =>
      useFields.map((field) =>
        fit(growthOfUse[field], `${phase} ${field}`, phase, (result) => result.mean[field]),
      ),
    ),
    ...phases.map((phase) =>
      fit('daemons', `${phase} tableWritesPerSecond`, phase, (r) => r.tableWritesPerSecond),
    ),
    fit('polls', 'idle tableReadsPerSecond', 'idle', (r) => r.tableReadsPerSecond),
    fit('daemons', 'churn inForceMaxMs', 'churn', (r) => r.inForceMaxMs),
    fit('engineCalls', 'engines cpuPct', 'idle', (r) => r.mean.cpuPct),
    fit('engines', 'engines residentMb', 'idle', (r) => r.mean.residentMb),
    fit(
      'engineCalls',
      'engines upstreamBytesPerSecond',
      'idle',
      (r) => r.mean.upstreamBytesPerSecond,
    ),
    fit('listedVms', 'listed owner cpuPct', 'idle', (r) => r.max.cpuPct),
    fit(
      'listedVms',
      'listed owner platformBytesPerSecond',
      'idle',
      (r) => r.max.platformBytesPerSecond,
    ),
  ];
};

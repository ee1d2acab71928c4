/** What the control bench varies, and what it measures. */

/** One deployment to measure. */
export interface Setup {
  readonly daemons: number;
  readonly dataCentres: number;
  /** Stand-in engines in each data centre. */
  readonly engines: number;
  /** VMs on the platform's list besides the daemons and engines. */
  readonly extraListedVms: number;
}

export type PhaseName = 'idle' | 'churn' | 'load';

/** What one daemon takes. */
export interface DaemonUse {
  /** Percent of one core. */
  readonly cpuPct: number;
  readonly residentMb: number;
  readonly heapMb: number;
  /** Sent and received, HTTP headers included. */
  readonly peerBytesPerSecond: number;
  readonly platformBytesPerSecond: number;
  readonly upstreamBytesPerSecond: number;
}

export type UseField = keyof DaemonUse;

export const useFields: readonly UseField[] = [
  'cpuPct',
  'residentMb',
  'heapMb',
  'peerBytesPerSecond',
  'platformBytesPerSecond',
  'upstreamBytesPerSecond',
];

export interface PhaseResult {
  readonly phase: PhaseName;
  readonly mean: DaemonUse;
  /** The highest of any daemon, field by field: who owns duties or relays. */
  readonly max: DaemonUse;
  /** By all daemons together. */
  readonly tableReadsPerSecond: number;
  readonly tableWritesPerSecond: number;
  readonly changes: number;
  readonly changesPerSecond: number;
  readonly requests: number;
  readonly failures: number;
  readonly inForceP50Ms: number;
  readonly inForceMaxMs: number;
}

export interface SetupResult {
  readonly setup: Setup;
  readonly phases: readonly PhaseResult[];
}
